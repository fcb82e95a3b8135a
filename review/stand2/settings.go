package main

// settingsFormat is the settings file of a gateway.
const settingsFormat = `nodeId = %q
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "kingston"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = %t
toleranceCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kingston-a = "kingston"
montego-a = "montego"
mandeville-a = "mandeville"
[listen]
frontend = "%s:%d"
readiness = "%s:%d"
admin = "%s:%d"
[limits]
cpuShare = 0.304
cpus = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchupS = 4
drainMs = 2500
graceS = 8
lostSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxSkewMs = 6000
revokeFailClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 54
recoveryS = 12
passMs = 250
againS = 4.7
[platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`
