package streams_test

import (
	"context"
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// want is the number of tokens that a stock client asks for. The engine
// stand-in reads it from a field that clients of other engines don't send.
const want = 40

func stockClient(w *world) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+w.entries[0].CallerAddress()+"/v1/"),
		option.WithAPIKey(key("chambers")),
		option.WithJSONSet("standin-tokens", want),
		option.WithMaxRetries(0),
	)
}

func chat(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

func completion(text string) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model:  model,
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(text)},
	}
}

var _ = Describe("A stock client", func() {
	var (
		w      *world
		client openai.Client
		ctx    context.Context
	)
	BeforeEach(func() {
		w = newWorld(1, 1, perSec)
		client = stockClient(w)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), bound)
		DeferCleanup(cancel)
	})

	It("streams chat completions", func() {
		stream := client.Chat.Completions.NewStreaming(ctx, chat("fees"))
		var whole openai.ChatCompletionAccumulator
		for stream.Next() {
			Expect(whole.AddChunk(stream.Current())).To(BeTrue())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(whole.Choices[0].FinishReason).To(Equal("stop"))
		Expect(whole.Choices[0].Message.Role).To(BeEquivalentTo("assistant"))
		Expect(strings.Fields(whole.Choices[0].Message.Content)).To(HaveLen(want))
		Expect(whole.Usage.CompletionTokens).To(BeEquivalentTo(want))
	})

	It("takes whole chat completions", func() {
		answer, err := client.Chat.Completions.New(ctx, chat("fees"))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(answer.Choices[0].Message.Content)).To(HaveLen(want))
		Expect(answer.Usage.CompletionTokens).To(BeEquivalentTo(want))
	})

	It("streams completions and takes whole ones", func() {
		stream := client.Completions.NewStreaming(ctx, completion("plan"))
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Text)
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(strings.Fields(text.String())).To(HaveLen(want))
		answer, err := client.Completions.New(ctx, completion("plan"))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(answer.Choices[0].Text)).To(HaveLen(want))
	})

	It("raises an error for a stream whose generation was lost", func() {
		stream := client.Completions.NewStreaming(ctx, completion("plan"))
		Expect(stream.Next()).To(BeTrue())
		w.engines[0].kill()
		for stream.Next() {
		}
		Expect(stream.Err()).To(MatchError(ContainSubstring("generation-lost")))
	})

	It("raises an error for a whole answer whose generation was lost", func() {
		go func() {
			defer GinkgoRecover()
			Eventually(w.engines[0].engine.Counts, bound).Should(HaveField("Tokens", BeNumerically(">", 0)))
			w.engines[0].kill()
		}()
		_, err := client.Completions.New(ctx, completion("plan"))
		var problem *openai.Error
		Expect(errors.As(err, &problem)).To(BeTrue(), "%v", err)
		Expect(problem.StatusCode).To(Equal(502))
	})
})
