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

// wantTokens is the number of tokens that the OpenAI client asks for, in a field
// that only the engine stand-in reads.
const wantTokens = 40

func newOpenAIClient(sys *system) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+sys.entries[0].ClientAddress()+"/v1/"),
		option.WithAPIKey(apiKey("chambers")),
		option.WithJSONSet("standin-tokens", wantTokens),
		option.WithMaxRetries(0),
	)
}

func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

func completionParams(text string) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model:  model,
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(text)},
	}
}

var _ = Describe("The OpenAI client library", func() {
	var (
		sys    *system
		client openai.Client
		ctx    context.Context
	)
	BeforeEach(func() {
		sys = newSystem(1, 1, streamTokensPerSecond)
		client = newOpenAIClient(sys)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), stepTimeout)
		DeferCleanup(cancel)
	})

	It("streams chat completions", func() {
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams("fees"))
		var completion openai.ChatCompletionAccumulator
		for stream.Next() {
			Expect(completion.AddChunk(stream.Current())).To(BeTrue())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(completion.Choices[0].FinishReason).To(Equal("stop"))
		Expect(completion.Choices[0].Message.Role).To(BeEquivalentTo("assistant"))
		Expect(strings.Fields(completion.Choices[0].Message.Content)).To(HaveLen(wantTokens))
		Expect(completion.Usage.CompletionTokens).To(BeEquivalentTo(wantTokens))
	})

	It("reads chat completions without streaming", func() {
		response, err := client.Chat.Completions.New(ctx, chatParams("fees"))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(response.Choices[0].Message.Content)).To(HaveLen(wantTokens))
		Expect(response.Usage.CompletionTokens).To(BeEquivalentTo(wantTokens))
	})

	It("reads completions with and without streaming", func() {
		stream := client.Completions.NewStreaming(ctx, completionParams("plan"))
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Text)
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(strings.Fields(text.String())).To(HaveLen(wantTokens))
		response, err := client.Completions.New(ctx, completionParams("plan"))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(response.Choices[0].Text)).To(HaveLen(wantTokens))
	})

	It("returns an error for a stream whose generation was lost", func() {
		stream := client.Completions.NewStreaming(ctx, completionParams("plan"))
		Expect(stream.Next()).To(BeTrue())
		sys.engines[0].disconnect()
		for stream.Next() {
		}
		Expect(stream.Err()).To(MatchError(ContainSubstring("generation-lost")))
	})

	It("returns an error for a request without streaming whose generation was lost", func() {
		go func() {
			defer GinkgoRecover()
			Eventually(sys.engines[0].engine.Counts, stepTimeout).Should(HaveField("Tokens", BeNumerically(">", 0)))
			sys.engines[0].disconnect()
		}()
		_, err := client.Completions.New(ctx, completionParams("plan"))
		var problem *openai.Error
		Expect(errors.As(err, &problem)).To(BeTrue(), "%v", err)
		Expect(problem.StatusCode).To(Equal(502))
	})
})
