// What duneturn's own processes say to each other, and what a voter keeps on disk.
// Rule for mixed versions: fields are only ever added, never renumbered; WIRE in
// base/version.hpp is raised when an older process could misread a newer one, and a
// process drops envelopes whose `wire` differs from its own by more than one.
namespace cpp duneturn.wire

// The sign that `node` has heard the beat `beat` of another node's life `boot`.
struct HeartbeatAck { 1: string node, 2: i64 boot, 3: i64 heartbeat }

// A server listed as leaving, with the generation of that listing.
struct DrainMark { 1: string server, 2: i64 revision }

// One node's word about itself; carried onward unchanged by whoever hears it.
struct NodeRecord {
  1: string node, 2: i64 boot, 3: i64 heartbeat,
  4: string zone, 5: string region,
  6: string peer, 7: string clientAddress, 8: string operatorAddress,
  9: i64 epoch, 10: i64 stateVersion, 11: bool settled,
  12: list<HeartbeatAck> acks, 13: list<DrainMark> marks,
  14: i64 credit, 15: i64 wall,
  16: string disk, 17: bool blank, 18: i64 term, 19: bool leader, 20: bool ready,
  21: bool stopping, 22: i64 want,
  // Learnt membership: the count of this life's changes, and how long ago the teller heard of it.
  23: i64 version, 24: i64 age,
  // This node reads StateChange and compressed documents.
  25: optional bool readsChanges
}

// The sign that a node lives and that its record is still the one of this version, but for `stateVersion`.
// Where that is not told, the node's state is of the same version as the sender's own, which the sender's own
// pulse or record in the same message tells (of senders that read StateChange).
struct HeartbeatPulse {
  1: string node, 2: i64 boot, 3: i64 heartbeat, 4: i64 version, 5: optional i64 stateVersion
}

// A server as the platform listed it. Told again under a lease; never logged.
struct ServerListing {
  1: string server, 2: string address, 3: string region, 4: string zone,
  5: string serviceName, 6: string weights, 7: i32 slots, 8: i32 state, 9: i64 inc,
  10: i64 revision, 11: i64 age, 12: i64 cold
}

// What a watcher saw of a server.
struct ServerLoad {
  1: string server, 2: i64 boot, 3: i32 prefill, 4: i32 decode, 5: i32 slots,
  6: bool dark, 7: i64 up, 8: string watcher, 9: i64 age, 10: bool cold
}

// Fields from 4 on: learnt membership only. `listingNumber` numbers the listing that the teller holds;
// `listings` holds what changed in it since `listingBase` (0: all of it; -1: none are told).
struct Heartbeat {
  1: list<NodeRecord> records, 2: list<ServerListing> listings, 3: list<ServerLoad> loads,
  4: list<HeartbeatPulse> heartbeatPulses, 5: list<string> wantedRecords, 6: bool wantsAll,
  7: i64 listingNumber, 8: i64 listingBase = -1
}

// The replicated state as one document: in `compressed` (zlib's format) for a node that reads it there,
// otherwise in `document`.
struct ReplicatedState { 1: i64 epoch, 2: i64 version, 3: string document, 4: optional binary compressed }
// Asks for what is newer than this version; `readsChanges`: as in NodeRecord.
struct ReplicatedStateRequest { 1: i64 epoch, 2: i64 version, 3: optional bool readsChanges }

// What made `version` of the replicated state of the version before it: the body and the kind of an entry of
// the log, a command or a change of the voters.
struct StateStep { 1: i64 version, 2: i32 kind, 3: binary body }
// The steps from version `base` of an epoch on, without a gap. `digest`: of the state that the last one makes.
struct StateChange { 1: i64 epoch, 2: i64 base, 3: list<StateStep> steps, 4: i64 digest }

// `boot`: the life of the node that asks; its answer names it again, so that an answer to an earlier
// life of that node is known as such.
struct OrderRequest { 1: i64 id, 2: string back, 3: string body, 4: bool readback, 5: i64 boot }
struct OrderReply { 1: i64 id, 2: i32 status, 3: string body, 4: i64 boot }

// Tenants' quotas (src/quota/). A token is the right to run one request. `term` orders granters: the epoch in
// the upper 32 bits, the voters' term below. `life`: a random number of the process.
// Counts are those of its life in this term, and rise. `carried`: the tokens that it brought along into the term,
// and those that it spent before without an answer; `spent` and `returned`: of these and of granted ones;
// `waiting`: requests that wait for a token; `wanted`: what it would like to hold beside those.
// `granted`: as the node knows it, which shows what is still on its way to it.
struct QuotaUse {
  1: string tenant, 2: i64 carried, 3: i64 spent, 4: i64 returned, 5: i64 waiting, 6: i64 wanted, 7: i64 granted
}
// `sequence`: rises with each report of a life. `granter`: for whom this is; another node passes it on once.
struct QuotaReport {
  1: i64 life, 2: i64 sequence, 3: i64 term, 4: list<QuotaUse> uses, 5: string granter, 6: string node
}
// `granted`: in all to this life in this term, without what it carried along. `scarce`: what isn't needed now is to be
// returned. `refused`: those who wait get no token now.
struct QuotaAllowance { 1: string tenant, 2: i64 granted, 3: bool scarce, 4: bool refused }
// Answers the report `sequence` of `node`; with 0 it only says who grants now. A lease runs from that report.
struct QuotaGrant {
  1: string node, 2: i64 life, 3: i64 sequence, 4: i64 term, 5: list<QuotaAllowance> allowances, 6: string granter
}
// What a granter's successor has to reckon with: `outstanding` tokens may be spent at any time, `spent` ones
// count by their age in steps of QUOTA_AGE_STEP.
struct QuotaTenantImage { 1: string tenant, 2: i64 outstanding, 3: list<i64> spent }
struct QuotaImage { 1: i64 term, 2: i64 sequence, 3: list<QuotaTenantImage> tenants }
// This voter holds the image, and follows no granter of a lower term.
struct QuotaImageReply { 1: i64 term, 2: i64 sequence }
// A new granter asks what its predecessors granted; whoever answers follows no lower term any more.
struct QuotaImageRequest { 1: i64 term }
// `known`: this voter has run for longer than anything granted before its start can count. `age`: since it
// received the image, or since it started if it has none, which the sequence 0 shows.
struct QuotaImageAnswer { 1: i64 term, 2: bool known, 3: QuotaImage image, 4: i64 age }

struct CreditGrant { 1: string node, 2: i64 boot, 3: i64 seq, 4: i64 credit }

struct Entry { 1: i64 term, 2: i64 index, 3: i32 kind, 4: string body }
// A candidate's request for a vote; with `preVote` only the question whether it would get one, which
// changes no term (Ongaro 2014, 9.6). `leadershipTransfer`: the leader asked for this election.
// `joint`: the candidate counts both majorities of a joint configuration.
struct RequestVote {
  1: i64 term, 2: i64 lastLogIndex, 3: i64 lastLogTerm, 4: bool preVote, 5: bool leadershipTransfer,
  6: bool joint
}
struct RequestVoteReply { 1: i64 term, 2: bool preVote, 3: bool granted }
// `round`: the newest round of heartbeats, which the reply names again (ReadIndex, 6.4).
struct AppendEntries {
  1: i64 term, 2: i64 prevLogIndex, 3: i64 prevLogTerm, 4: list<Entry> entries,
  5: i64 commit, 6: i64 round
}
// `knowsJoint`: this voter reads joint configurations; `knowsCompact`: it reads commands in the compact
// form; `rejectHint`: with ok = false the last index that may match; `prevLogIndex`: of what was rejected.
struct AppendEntriesReply {
  1: i64 term, 2: bool ok, 3: i64 match, 4: i64 rejectHint, 5: i64 round, 6: bool knowsJoint,
  7: i64 prevLogIndex, 8: optional bool knowsCompact
}
struct InstallSnapshot {
  1: i64 term, 2: i64 lastIncludedIndex, 3: i64 lastIncludedTerm, 4: string document, 5: i64 round
}
// A part of a snapshot's document of `size` bytes, from `offset` on; `checksum` covers the part and
// where it stands, `digest` the whole document.
struct SnapshotChunk {
  1: i64 term, 2: i64 lastIncludedIndex, 3: i64 lastIncludedTerm, 4: i64 size, 5: i64 offset, 6: binary data,
  7: i64 checksum, 8: i64 digest, 9: i64 round
}
// `received`: the offset that is expected next; `refused`: the chunk was not taken.
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
  // This envelope whole, in the compact protocol and zlib's format; told to wire 2 and above.
  17: optional binary compressed,
  30: optional SnapshotChunk snapshotChunk, 31: optional SnapshotChunkReply snapshotChunkReply,
  32: optional StateChange stateChange,
  33: optional QuotaReport quotaReport, 34: optional QuotaGrant quotaGrant,
  35: optional QuotaImage quotaImage, 36: optional QuotaImageReply quotaImageReply,
  37: optional QuotaImageRequest quotaImageRequest, 38: optional QuotaImageAnswer quotaImageAnswer
}

service Peer { oneway void tell(1: Envelope e) }

// A voter's disk: the record beside the snapshot and the entries.
struct Meta {
  1: string disk, 2: i64 epoch, 3: i64 term, 4: string vote, 5: i64 commit,
  6: i64 snapshotIndex, 7: i64 snapshotTerm, 8: i32 format
}
