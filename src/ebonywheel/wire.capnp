@0xd3c5a1e09b7f4e21;
# Generated from messages.py by scripts/generate_wire.py.

struct Hello {
  role @0 :Text;
  host @1 :Text;
  dataCentre @2 :Text;
  nonce @3 :Data;
  link @4 :Text;
}

struct Challenge {
  host @0 :Text;
  dataCentre @1 :Text;
  nonce @2 :Data;
  proof @3 :Data;
}

struct Proof {
  proof @0 :Data;
}

struct Ack {
}

struct Failure {
  code @0 :Text;
  text @1 :Text;
  step @2 :Text;
  peer @3 :Text;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  data @2 :Data;
}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  pre @4 :Bool;
  transfer @5 :Bool;
  target @6 :Text;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  prevIndex @2 :UInt64;
  prevTerm @3 :UInt64;
  commit @4 :UInt64;
  entries @5 :List(LogEntry);
  target @6 :Text;
  atMs @7 :UInt64;
}

struct AppendReply {
  term @0 :UInt64;
  ok @1 :Bool;
  match @2 :UInt64;
  hint @3 :UInt64;
}

struct SnapshotChunk {
  term @0 :UInt64;
  leader @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  offset @4 :UInt64;
  data @5 :Data;
  done @6 :Bool;
  target @7 :Text;
}

struct SnapshotReply {
  term @0 :UInt64;
  offset @1 :UInt64;
}

struct TimeoutNow {
  term @0 :UInt64;
  target @1 :Text;
}

struct MemberInfo {
  host @0 :Text;
  member @1 :Text;
  dataCentre @2 :Text;
  link @3 :Text;
  http @4 :Text;
}

struct IdentityRequest {
  info @0 :MemberInfo;
}

struct IdentityReply {
  info @0 :MemberInfo;
  formed @1 :Bool;
  members @2 :List(MemberInfo);
}

struct Submit {
  command @0 :Data;
  knownIndex @1 :UInt64;
}

struct SubmitReply {
  index @0 :UInt64;
  outcome @1 :Data;
}

struct Query {
  name @0 :Text;
  argument @1 :Data;
}

struct QueryReply {
  index @0 :UInt64;
  content @1 :Data;
}

struct ConfigItem {
  key @0 :Text;
  index @1 :UInt64;
  value @2 :Data;
  removed @3 :Bool;
}

struct LeaseRequest {
  host @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  address @3 :Text;
  environment @4 :Text;
  have @5 :UInt64;
  draining @6 :Bool;
  load @7 :Data;
}

struct LeaseGrant {
  index @0 :UInt64;
  durationMs @1 :UInt64;
  items @2 :List(ConfigItem);
  full @3 :Bool;
}

struct ConfirmRequest {
  leases @0 :List(LeaseRequest);
}

struct ConfirmReply {
  index @0 :UInt64;
  durationMs @1 :UInt64;
  refused @2 :List(Text);
}

struct ServerState {
  server @0 :Text;
  incarnation @1 :UInt64;
  environment @2 :Text;
  dataCentre @3 :Text;
  address @4 :Text;
  engine @5 :Text;
  state @6 :Text;
  totalBlocks @7 :UInt64;
  blockTokens @8 :UInt64;
  sequence @9 :UInt64;
  lastOrder @10 :UInt64;
}

struct ServerLoad {
  server @0 :Text;
  incarnation @1 :UInt64;
  running @2 :UInt64;
  waiting @3 :UInt64;
  usedBlocks @4 :UInt64;
  stepUs @5 :UInt64;
  preemptions @6 :UInt64;
  ageMs @7 :UInt64;
}

struct CacheEvent {
  prefix @0 :Text;
  present @1 :Bool;
  sequence @2 :UInt64;
}

struct Announce {
  state @0 :ServerState;
  load @1 :ServerLoad;
  cache @2 :List(CacheEvent);
}

struct ServerView {
  state @0 :ServerState;
  load @1 :ServerLoad;
  home @2 :Text;
  limit @3 :UInt64;
  used @4 :UInt64;
  cold @5 :Bool;
  prefixes @6 :List(Text);
  expectedBlocks @7 :UInt64;
}

struct ViewDelta {
  server @0 :Text;
  incarnation @1 :UInt64;
  limit @2 :UInt64;
  used @3 :UInt64;
  cold @4 :Bool;
  expectedBlocks @5 :UInt64;
}

struct FleetUpdate {
  host @0 :Text;
  incarnation @1 :UInt64;
  rosterIndex @2 :UInt64;
  servers @3 :List(ServerView);
  deltas @4 :List(ViewDelta);
}

struct Borrow {
  loan @0 :Text;
  host @1 :Text;
  hostIncarnation @2 :UInt64;
  server @3 :Text;
  incarnation @4 :UInt64;
  service @5 :Text;
  customer @6 :Text;
  promptTokens @7 :UInt64;
  alone @8 :Bool;
  fingerprint @9 :Data;
  maxTokens @10 :UInt64;
  priority @11 :UInt64;
  expectedTokens @12 :UInt64;
}

struct Loan {
  loan @0 :Text;
  server @1 :Text;
  incarnation @2 :UInt64;
  durationMs @3 :UInt64;
}

struct Holding {
  loan @0 :Text;
  server @1 :Text;
  incarnation @2 :UInt64;
  service @3 :Text;
  customer @4 :Text;
  promptTokens @5 :UInt64;
  tokens @6 :UInt64;
  fingerprint @7 :Data;
  alone @8 :Bool;
  maxTokens @9 :UInt64;
  expectedTokens @10 :UInt64;
}

struct Holdings {
  host @0 :Text;
  hostIncarnation @1 :UInt64;
  holdings @2 :List(Holding);
}

struct Release {
  loan @0 :Text;
  server @1 :Text;
  incarnation @2 :UInt64;
  tokens @3 :UInt64;
  outcome @4 :Text;
}

struct Handoff {
  host @0 :Text;
  rosterIndex @1 :UInt64;
  state @2 :ServerState;
  load @3 :ServerLoad;
  limit @4 :UInt64;
  warm @5 :Bool;
  holdings @6 :List(Holding);
  foreign @7 :UInt64;
  dead @8 :List(UInt64);
}

struct DeathNotice {
  server @0 :Text;
  incarnation @1 :UInt64;
}

struct DirectoryRecord {
  server @0 :Text;
  bornMs @1 :UInt64;
  sequence @2 :UInt64;
  gone @3 :Bool;
  draining @4 :Bool;
  service @5 :Text;
  address @6 :Text;
  dataCentre @7 :Text;
  slots @8 :UInt64;
  coldMs @9 :UInt64;
  ageMs @10 :UInt64;
  version @11 :UInt64;
  software @12 :Text;
}

struct ServerUse {
  server @0 :Text;
  requests @1 :UInt64;
  tokens @2 :UInt64;
  unread @3 :UInt64;
}

struct ServerLimit {
  server @0 :Text;
  bornMs @1 :UInt64;
  stated @2 :Bool;
  perS @3 :Float64;
  ageMs @4 :UInt64;
}

struct ServerPace {
  server @0 :Text;
  bornMs @1 :UInt64;
  answers @2 :Float64;
  failures @3 :Float64;
  workS @4 :Float64;
  works @5 :Float64;
  windows @6 :Float64;
  lateWindows @7 :Float64;
  readTokens @8 :Float64;
  readS @9 :Float64;
  stretch @10 :Float64;
  stretches @11 :Float64;
  resetHosts @12 :UInt64;
  resetAgeMs @13 :UInt64;
}

struct SuspectFingerprint {
  fingerprint @0 :Data;
  crashedMs @1 :UInt64;
  refusedMs @2 :UInt64;
}

struct RolloutView {
  service @0 :Text;
  index @1 :UInt64;
  target @2 :Text;
  phase @3 :Text;
  share @4 :Float64;
  barred @5 :List(Text);
}

struct RolloutEvidence {
  index @0 :UInt64;
  route @1 :Text;
  onTarget @2 :Bool;
  requests @3 :UInt64;
  answers @4 :UInt64;
  failures @5 :UInt64;
  delays @6 :List(UInt64);
  waiting @7 :List(UInt64);
  inFlightOld @8 :UInt64;
}

struct WatchRequest {
  host @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  seen @3 :UInt64;
  routingIndex @4 :UInt64;
  outIndex @5 :UInt64;
  waitMs @6 :UInt64;
  relayed @7 :Bool;
  uses @8 :List(ServerUse);
  usesWanted @9 :Bool;
  usesReported @10 :Bool;
  usesNumber @11 :UInt64;
  changesOnly @12 :Bool;
  suspectsWanted @13 :Bool;
  suspectsIndex @14 :UInt64;
  limits @15 :List(ServerLimit);
  mayRelay @16 :Bool;
  paces @17 :List(ServerPace);
  rolloutsWanted @18 :Bool;
  rolloutsIndex @19 :UInt64;
  evidence @20 :List(RolloutEvidence);
}

struct WatchReply {
  epoch @0 :UInt64;
  seen @1 :UInt64;
  records @2 :List(DirectoryRecord);
  routingIndex @3 :UInt64;
  routingVersion @4 :UInt64;
  outIndex @5 :UInt64;
  out @6 :List(Text);
  members @7 :List(Text);
  entryHosts @8 :UInt64;
  uses @9 :List(ServerUse);
  usesComplete @10 :Bool;
  usesNumber @11 :UInt64;
  suspectsIndex @12 :UInt64;
  suspects @13 :List(SuspectFingerprint);
  limits @14 :List(ServerLimit);
  paces @15 :List(ServerPace);
  rolloutsIndex @16 :UInt64;
  rollouts @17 :List(RolloutView);
  rolloutsLeaseMs @18 :UInt64;
}

struct RoutingRequest {
}

struct RoutingReply {
  index @0 :UInt64;
  version @1 :UInt64;
  content @2 :Data;
}

struct ReadIndexRequest {
}

struct ReadIndexReply {
  index @0 :UInt64;
}

struct JoinRequest {
  info @0 :MemberInfo;
  ask @1 :Bool;
}

struct JoinReply {
  members @0 :List(MemberInfo);
}

struct PermitRequest {
  server @0 :Text;
  bornMs @1 :UInt64;
  perS @2 :Float64;
  burst @3 :Float64;
}

struct PermitReply {
  granted @0 :Bool;
  waitMs @1 :UInt64;
}

struct RelayHostsRequest {
}

struct RelayHost {
  host @0 :Text;
  dataCentre @1 :Text;
  link @2 :Text;
}

struct RelayHostsReply {
  hosts @0 :List(RelayHost);
}

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct RelayRequest {
  relay @0 :UInt64;
  method @1 :Text;
  path @2 :Text;
  rawQuery @3 :Text;
  headers @4 :List(HeaderField);
  body @5 :Data;
  elapsedMs @6 :UInt64;
  sentTo @7 :List(Text);
  routingIndex @8 :UInt64;
  target @9 :Text;
}

struct RelayRead {
  relay @0 :UInt64;
  position @1 :UInt64;
}

struct RelayReply {
  status @0 :UInt64;
  headers @1 :List(HeaderField);
  data @2 :Data;
  ended @3 :Bool;
  failure @4 :Text;
  text @5 :Text;
  retryAfterMs @6 :UInt64;
}

struct RelayEnd {
  relay @0 :UInt64;
}
