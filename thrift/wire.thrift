// The messages between duneturn's own processes, and the metadata that a voter stores on its disk.
//
// Compatibility between versions: fields are only added and never renumbered. WIRE in base/version.hpp is
// raised when an older process could misinterpret a newer one, and a process drops envelopes whose `wire`
// differs from its own by more than one.
namespace cpp duneturn.wire

// Acknowledges the heartbeat with the counter `heartbeat` that `node` sent in its incarnation `boot`.
struct HeartbeatAck { 1: string node, 2: i64 boot, 3: i64 heartbeat }

// A server that is draining, with the revision of the listing or mark that says so.
struct DrainMark { 1: string server, 2: i64 revision }

// A node's record of itself. Other nodes relay it unchanged, except for `wall` and `age`.
struct NodeRecord {
  1: string node, 2: i64 boot, 3: i64 heartbeat,
  4: string zone, 5: string region,
  6: string peer, 7: string clientAddress, 8: string operatorAddress,
  9: i64 epoch, 10: i64 stateVersion, 11: bool settled,
  12: list<HeartbeatAck> acks, 13: list<DrainMark> marks,
  14: i64 credit, 15: i64 wall,
  16: string disk, 17: bool blank, 18: i64 term, 19: bool leader, 20: bool ready,
  21: bool stopping, 22: i64 want,
  // Gossip membership: the number of changes of this record in this incarnation, and the time since the sending
  // node last received a heartbeat of this node.
  23: i64 version, 24: i64 age,
  // Whether the node reads StateChange messages and compressed documents.
  25: optional bool readsChanges
}

// Reports that a node is alive and that its record still has this version, except for `stateVersion`. If
// `stateVersion` is not set, the node holds the same state as the source of the message, whose own pulse or record
// in the same message gives the version (if the source reads StateChange).
struct HeartbeatPulse {
  1: string node, 2: i64 boot, 3: i64 heartbeat, 4: i64 version, 5: optional i64 stateVersion
}

// A server as the platform listed it. Disseminated between nodes with an age; never written to the log.
struct ServerListing {
  1: string server, 2: string address, 3: string region, 4: string zone,
  5: string serviceName, 6: string weights, 7: i32 slots, 8: i32 state, 9: i64 inc,
  10: i64 revision, 11: i64 age, 12: i64 cold
}

// The load of a server as a probing node (`watcher`) read it. `dark`: the server is unresponsive.
struct ServerLoad {
  1: string server, 2: i64 boot, 3: i32 prefill, 4: i32 decode, 5: i32 slots,
  6: bool dark, 7: i64 up, 8: string watcher, 9: i64 age, 10: bool cold
}

// Fields from 4 on are used by gossip membership only. `listingNumber`: the number of the listing that the source
// holds. `listings`: what has changed in it since the number `listingBase` (0: the complete listing; -1: no listing
// is sent). `wantsAll`: requests all records, the listing and the replicated state.
struct Heartbeat {
  1: list<NodeRecord> records, 2: list<ServerListing> listings, 3: list<ServerLoad> loads,
  4: list<HeartbeatPulse> heartbeatPulses, 5: list<string> wantedRecords, 6: bool wantsAll,
  7: i64 listingNumber, 8: i64 listingBase = -1
}

// The complete replicated state as one document: in `compressed` (zlib format) for a receiver that reads it,
// otherwise in `document`.
struct ReplicatedState { 1: i64 epoch, 2: i64 version, 3: string document, 4: optional binary compressed }
// Requests what is newer than this version. `readsChanges`: as in NodeRecord.
struct ReplicatedStateRequest { 1: i64 epoch, 2: i64 version, 3: optional bool readsChanges }

// The step from the previous version of the replicated state to `version`: the kind and body of a log entry, which
// is a command or a change of the voters.
struct StateStep { 1: i64 version, 2: i32 kind, 3: binary body }
// The steps that follow version `base` of an epoch, without gaps. `digest`: of the state after the last step.
struct StateChange { 1: i64 epoch, 2: i64 base, 3: list<StateStep> steps, 4: i64 digest }

// `boot`: the incarnation of the requesting node. The reply repeats it, so that a reply to an earlier incarnation
// is recognized. `back`: the peer address that the reply goes to. `readback`: a read instead of an order.
struct OrderRequest { 1: i64 id, 2: string back, 3: string body, 4: bool readback, 5: i64 boot }
struct OrderReply { 1: i64 id, 2: i32 status, 3: string body, 4: i64 boot }

// Tenants' quotas (src/quota/). A token is the right to run one request. `term` orders granters: it has the epoch
// in the upper 32 bits and the voters' term below. `life`: a random number that identifies a process.
//
// The counts in QuotaUse are cumulative for a process in this term. `carried`: tokens that it brought into the
// term, including those that it spent earlier without an answer to its report. `spent`, `returned`: of carried
// and granted tokens. `waiting`: requests that wait for a token. `wanted`: tokens that it would like to hold in
// addition. `granted`: as far as the node knows; the difference from the granter's count is still in transit.
struct QuotaUse {
  1: string tenant, 2: i64 carried, 3: i64 spent, 4: i64 returned, 5: i64 waiting, 6: i64 wanted, 7: i64 granted
}
// `sequence`: rises with each report of a process. `granter`: the addressee; another node relays the report once.
struct QuotaReport {
  1: i64 life, 2: i64 sequence, 3: i64 term, 4: list<QuotaUse> uses, 5: string granter, 6: string node
}
// `granted`: in total to this process in this term, not counting carried tokens. `scarce`: tokens that are not
// needed now must be returned. `refused`: waiting requests get no token now.
struct QuotaAllowance { 1: string tenant, 2: i64 granted, 3: bool scarce, 4: bool refused }
// Answers the report `sequence` of `node`; with 0 it only announces the granter. The lease of the tokens begins when
// that report was sent.
struct QuotaGrant {
  1: string node, 2: i64 life, 3: i64 sequence, 4: i64 term, 5: list<QuotaAllowance> allowances, 6: string granter
}
// What the successor of a granter must take into account: `outstanding` tokens may be spent at any time; `spent`
// holds numbers of spent tokens by age, in steps of QUOTA_AGE_STEP.
struct QuotaTenantImage { 1: string tenant, 2: i64 outstanding, 3: list<i64> spent }
struct QuotaImage { 1: i64 term, 2: i64 sequence, 3: list<QuotaTenantImage> tenants }
// The voter holds the image and accepts no granter of a lower term.
struct QuotaImageReply { 1: i64 term, 2: i64 sequence }
// A new granter asks what its predecessors have granted. A voter that answers promises to accept no lower term.
struct QuotaImageRequest { 1: i64 term }
// `known`: the voter has been running for so long that nothing granted before its start counts any more. `age`: time
// since it received the image, or since its start if it has none (sequence 0).
struct QuotaImageAnswer { 1: i64 term, 2: bool known, 3: QuotaImage image, 4: i64 age }

struct CreditGrant { 1: string node, 2: i64 boot, 3: i64 seq, 4: i64 credit }

struct Entry { 1: i64 term, 2: i64 index, 3: i32 kind, 4: string body }
// A candidate's request for a vote. With `preVote` it only asks whether the vote would be granted, and no term
// changes (Ongaro 2014, 9.6). `leadershipTransfer`: the leader requested this election (TimeoutNow).
// `joint`: the candidate requires both majorities of a joint configuration.
struct RequestVote {
  1: i64 term, 2: i64 lastLogIndex, 3: i64 lastLogTerm, 4: bool preVote, 5: bool leadershipTransfer,
  6: bool joint
}
struct RequestVoteReply { 1: i64 term, 2: bool preVote, 3: bool granted }
// `round`: the newest round of heartbeats, which the reply repeats (ReadIndex: Ongaro 2014, 6.4).
struct AppendEntries {
  1: i64 term, 2: i64 prevLogIndex, 3: i64 prevLogTerm, 4: list<Entry> entries,
  5: i64 commit, 6: i64 round
}
// `knowsJoint`: the voter reads joint configurations. `knowsCompact`: it reads commands in the compact encoding.
// `rejectHint`: with ok = false, the last index that may match. `prevLogIndex`: of the rejected request.
struct AppendEntriesReply {
  1: i64 term, 2: bool ok, 3: i64 match, 4: i64 rejectHint, 5: i64 round, 6: bool knowsJoint,
  7: i64 prevLogIndex, 8: optional bool knowsCompact
}
struct InstallSnapshot {
  1: i64 term, 2: i64 lastIncludedIndex, 3: i64 lastIncludedTerm, 4: string document, 5: i64 round
}
// A part of a snapshot's document of `size` bytes, beginning at `offset`. `checksum` covers the part and its
// position, `digest` the complete document.
struct SnapshotChunk {
  1: i64 term, 2: i64 lastIncludedIndex, 3: i64 lastIncludedTerm, 4: i64 size, 5: i64 offset, 6: binary data,
  7: i64 checksum, 8: i64 digest, 9: i64 round
}
// `received`: the next expected offset. `refused`: the chunk was rejected.
struct SnapshotChunkReply {
  1: i64 term, 2: i64 lastIncludedIndex, 3: i64 digest, 4: i64 received, 5: bool refused, 6: i64 round
}
struct TimeoutNow { 1: i64 term }

struct Envelope {
  1: i32 wire, 2: string node, 3: string disk, 4: i64 epoch,
  5: optional Heartbeat heartbeat, 6: optional ReplicatedState replicatedState,
  7: optional ReplicatedStateRequest replicatedStateRequest,
  8: optional OrderRequest orderRequest, 9: optional OrderReply orderReply,
  10: optional CreditGrant creditGrant,
  11: optional RequestVote requestVote, 12: optional RequestVoteReply requestVoteReply,
  13: optional AppendEntries appendEntries, 14: optional AppendEntriesReply appendEntriesReply,
  15: optional InstallSnapshot installSnapshot, 16: optional TimeoutNow timeoutNow,
  // The complete envelope in the compact protocol, compressed in zlib format; sent to wire 2 and above.
  17: optional binary compressed,
  30: optional SnapshotChunk snapshotChunk, 31: optional SnapshotChunkReply snapshotChunkReply,
  32: optional StateChange stateChange,
  33: optional QuotaReport quotaReport, 34: optional QuotaGrant quotaGrant,
  35: optional QuotaImage quotaImage, 36: optional QuotaImageReply quotaImageReply,
  37: optional QuotaImageRequest quotaImageRequest, 38: optional QuotaImageAnswer quotaImageAnswer
}

service Peer { oneway void tell(1: Envelope e) }

// The metadata record on a voter's disk, stored beside the snapshot and the log entries.
struct Meta {
  1: string disk, 2: i64 epoch, 3: i64 term, 4: string vote, 5: i64 commit,
  6: i64 snapshotIndex, 7: i64 snapshotTerm, 8: i32 format
}
