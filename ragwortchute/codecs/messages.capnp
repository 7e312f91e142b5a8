# Messages between hosts, as defined in wire.py. Field names are those of
# wire.py in camel case. Only the encoding of Cap'n Proto is used, not its RPC.
@0xb7e2c4d91f603a85;

struct Envelope {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    heartbeatAck @2 :HeartbeatAck;
    viewNotice @3 :ViewNotice;
    viewPull @4 :Void;
    domainOrder @5 :DomainOrder;
    documentPull @6 :DocumentPull;
    slotStatus @7 :SlotStatus;
    slotRequest @8 :SlotRequest;
    slotGrant @9 :SlotGrant;
    slotReturn @10 :SlotReturn;
    targetNotice @11 :TargetNotice;
    targetPull @12 :TargetPull;
    targetBatch @13 :TargetBatch;
    targetSuspect @14 :TargetSuspect;
    crashSuspect @15 :CrashSuspect;
    leaving @16 :Leaving;
    done @17 :Done;
    # Large or rare messages are a single MessagePack value. Their cost is mostly
    # that of the body, which a schema would not reduce.
    documentNotice @18 :Data;
    documentBatch @19 :Data;
    callForward @20 :Data;
    callAnswer @21 :Data;
    recordHandover @22 :Data;
    stopping @23 :Stopping;
  }
}

struct Hello {
  host @0 :Text;
  incarnation @1 :Int64;
  region @2 :Text;
  failureDomain @3 :Text;
  nonce @4 :Data;
}

struct Member {
  host @0 :Text;
  incarnation @1 :Int64;
  peerAddress @2 :Text;
  callerUrl @3 :Text;
  failureDomain @4 :Text;
  region @5 :Text;
}

struct View {
  region @0 :Text;
  epoch @1 :Int64;
  leader @2 :Text;
  members @3 :List(Member);
  witnesses @4 :List(Text);
  previousWitnesses @5 :List(Text);
  passive @6 :List(Text);
}

struct Heartbeat {
  member @0 :Member;
  epoch @1 :Int64;
  digest @2 :Int64;
}

struct HeartbeatAck {
  host @0 :Text;
  incarnation @1 :Int64;
  epoch @2 :Int64;
  digest @3 :Int64;
  joined @4 :Bool;
  suspects @5 :List(Text);
}

struct ViewNotice {
  view @0 :View;
}

struct DomainOrder {
  failureDomain @0 :Text;
  orderId @1 :Text;
  baseVersion @2 :Int64;
  issuedBy @3 :Text;
  issuedAt @4 :Float64;
}

struct DocumentVersion {
  name @0 :Text;
  version @1 :Int64;
}

struct DocumentPull {
  have @0 :List(DocumentVersion);
}

struct SlotStatus {
  host @0 :Text;
  service @1 :Text;
  spare @2 :Int64;
  waiting @3 :Int64;
}

struct SlotRequest {
  host @0 :Text;
  service @1 :Text;
  count @2 :Int64;
}

struct LentSlots {
  target @0 :Text;
  incarnation @1 :Text;
  count @2 :Int64;
}

struct SlotGrant {
  loanId @0 :Int64;
  termMs @1 :Int64;
  slots @2 :List(LentSlots);
  spare @3 :Int64;
}

struct ReturnedSlots {
  loanId @0 :Int64;
  target @1 :Text;
  count @2 :Int64;
}

struct SlotReturn {
  host @0 :Text;
  loanId @1 :Int64;
  target @2 :Text;
  count @3 :Int64;
  more @4 :List(ReturnedSlots);
}

struct TargetNotice {
  service @0 :Text;
  target @1 :Text;
  incarnation @2 :Text;
  phase @3 :Text;
  epoch @4 :Int64;
}

struct TargetPull {
  service @0 :Text;
}

struct TargetBatch {
  notices @0 :List(TargetNotice);
}

struct TargetSuspect {
  host @0 :Text;
  service @1 :Text;
  target @2 :Text;
  incarnation @3 :Text;
  reason @4 :Text;
}

struct CrashSuspect {
  service @0 :Text;
  digest @1 :Data;
  target @2 :Text;
  cleared @3 :Bool;
  ageMs @4 :Int64;
}

struct Leaving {
  host @0 :Text;
  incarnation @1 :Int64;
  successor @2 :Text;
  successorIncarnation @3 :Int64;
}

struct Done {
  accepted @0 :Bool;
}

struct Stopping {
  host @0 :Text;
  incarnation @1 :Int64;
}
