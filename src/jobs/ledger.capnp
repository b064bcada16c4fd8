#Records of the ledger, and its snapshot.Fields are only ever added.
@0xd2c0f4a1b7e36591;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramplank::ledger_wire");

struct Resources {
  cpuMilli @0 : Int64;
  memoryMb @1 : Int64;
  accelerators @2 : Int64;
}

struct Step {
  tasks @0 : Int32;
  need @1 : Resources;
  estimateMs @2 : Int64;
  after @3 : List(Int32);
  gang @4 : Bool;
  sameRack @5 : Bool;
  checkpoints @6 : Bool;
  speculative @7 : Bool;
  lasting @8 : Bool;
  usesIdleCpu @9 : Bool;
  requiredLabel @10 : Text;
  dataRack @11 : Text;
  maxPerWorker @12 : Int32;
  maxUnavailable @13 : Int32;
  image @14 : Text;
  latencyTargetMs @15 : Int64;
}

struct Job {
  id @0 : Text;
  account @1 : Text;
  payload @2 : Text;
  steps @3 : List(Step);
  times @4 : Int32;
  firstDueUnixMs @5 : Int64;
  intervalMs @6 : Int64;
  queue @7 : Text;
  service @8 : Text;
  priority @9 : Int32;
  maxAttempts @10 : Int32;
  stretch @11 : Float64;
  targetMs @12 : Int64;
#Both empty : submitted through an earlier version.
  host @13 : Text;
  pathPrefix @14 : Text;
}
#A queue, as jobs know it.
struct QueueRef {
  host @0 : Text;
  pathPrefix @1 : Text;
  queue @2 : Text;
  service @3 : Text;
}

struct Life {
  id @0 : Text;
  bornMs @1 : Int64;
}

struct Task {
  job @0 : Text;
  occurrence @1 : Int32;
  step @2 : Int32;
  index @3 : Int32;
}

struct Member {
  index @0 : Int32;
  life @1 : Life;
}

struct Worker {
  agent @0 : Text;
  life @1 : Life;
  service @2 : Text;
  dataCentre @3 : Text;
  rack @4 : Text;
  labels @5 : List(Text);
  capacity @6 : Resources;
  accepting @7 : Bool;
  leavesInMs @8 : Int64;
  process @9 : Text;
  statement @10 : Int64;
}

struct EntryRelay {
  entry @0 : Text;
  dataCentre @1 : Text;
  relay @2 : Text;
}

struct Record {
  union {
    jobSubmitted @0 : Job;
    jobCancelled @1 : Text;
    agentBeat : group {
      agent @2 : Text;
      process @37 : Text;
#The worker that this process has heard.Empty id : none.
      heard @39 : Life;
#Age of its last sign of life.- 1 : an agent of a version that does not
#say.
      heardAgoMs @40 : Int64 = -1;
#0 : an agent of a version that does not number its processes.
      processNumber @52 : Int64;
#Age of the process.- 1 : not stated, by an earlier version.
      uptimeMs @53 : Int64 = -1;
    }
    workerReported @3 : Worker;
    workerEmptied : group {
      life @4 : Life;
      epoch @5 : Int64;
      gone @6 : Bool;
      reason @7 : Text;
      crashed @41 : Bool;
      suspects @42 : List(RunRef);
      process @43 : Text;
      statement @44 : Int64;
#Empty : all runs of the worker.
      runs @47 : List(RunRef);
    }
    plannerElected : group {
      entry @8 : Text;
      epoch @9 : Int64;
    }
    plannerResigned : group {
      entry @10 : Text;
      epoch @11 : Int64;
    }
    runStarted : group {
      epoch @12 : Int64;
      first @13 : Task;
      run @14 : Int32;
      members @15 : List(Member);
      checkpoint @16 : Text;
    }
    runStopped : group {
      epoch @17 : Int64;
      first @18 : Task;
      run @19 : Int32;
      cause @20 : UInt8;
    }
    taskEnded : group {
      life @21 : Life;
      number @22 : Int64;
      task @23 : Task;
      run @24 : Int32;
      how @25 : UInt8;
      checkpoint @26 : Text;
      ranMs @45 : Int64;
    }
    startRefused : group {
      life @27 : Life;
      task @28 : Task;
      run @29 : Int32;
      reason @30 : Text;
    }
    entryStarted @38 : EntryRelay;
    runObserved : group {
      life @31 : Life;
      task @32 : Task;
      run @33 : Int32;
      percent @34 : Int32;
      stalled @35 : Bool;
      checkpoint @36 : Text;
      projectedMs @46 : Int64;
    }
    queueChanged : group {
      epoch @48 : Int64;
      rulesVersion @49 : Int64;
      before @50 : QueueRef;
      after @51 : QueueRef;
    }
    startUnanswered : group {
      life @54 : Life;
      task @55 : Task;
      run @56 : Int32;
    }
    startsExpired : group {
      agent @57 : Text;
      epoch @58 : Int64;
      runs @59 : List(RunRef);
      process @60 : Text;
      statement @61 : Int64;
    }
  }
}

struct Unit {
  phase @0 : UInt8;
  failedInRun @1 : Bool;
  stopRequested @2 : Bool;
  run @3 : Int32;
  failures @4 : Int32;
  unsettled @5 : Int32;
  checkpoint @6 : Text;
  members @7 : List(Member);
  failedOn @8 : List(Life);
  crashes @9 : List(TaskCrashes);
  displacements @10 : Int32;
  migrations @11 : Int32;
  lateStarts @12 : Int32;
}

struct RunRef {
  task @0 : Task;
  run @1 : Int32;
}

struct TaskCrashes {
  index @0 : Int32;
  workers @1 : Int32;
  agents @2 : List(AgentCrashes);
}

struct AgentCrashes {
  agent @0 : Text;
  workers @1 : Int32;
}
#Equal units in a row.
struct UnitRun {
  unit @0 : Unit;
  count @1 : Int32;
}
#Equal occurrences in a row; the units of each step.
struct OccurrenceRun {
  steps @0 : List(List(UnitRun));
  count @1 : Int32;
}

struct JobState {
  job @0 : Job;
  phase @1 : UInt8;
  order @2 : Int64;
#Of snapshots of an earlier version.
  occurrences @3 : List(List(List(Unit)));
  begun @4 : Bool;
  occurrenceRuns @5 : List(OccurrenceRun);
  hasMoved @6 : Bool;
}
#A job that has ended, in the order of the ends.
struct EndedJob {
  id @0 : Text;
#Position from 1 in the snapshot's list of kinds. 0: only the place in the
#order is known.
  kind @1 : Int32;
  phase @2 : UInt8;
  begun @3 : Bool;
  order @4 : Int64;
}

struct LiveRun {
  task @0 : Task;
  run @1 : Int32;
  need @2 : Resources;
  stop @3 : Bool;
  gang @4 : Bool;
  payload @5 : Text;
  checkpoint @6 : Text;
  percent @7 : Int32;
  stalled @8 : Bool;
  agentProcess @9 : Text;
#The payload is the one of the job.
  hasPayloadOfJob @10 : Bool;
#Position from 1 in the snapshot's list of payloads. 0: not there.
  payloadNumber @11 : Int32;
  projectedMs @12 : Int64;
  startUnanswered @13 : Bool;
  senderEndedMs @14 : Int64 = -1;
}
#A run that has ended, or was refused, and of which a start may still be
#carried out.
struct LateStart {
  task @0 : Task;
  run @1 : Int32;
  life @2 : Life;
  agentProcess @3 : Text;
  senderEndedMs @4 : Int64 = -1;
  holdsUnit @5 : Bool;
}

struct WorkerState {
  report @0 : Worker;
  gone @1 : Bool;
  lastEnd @2 : Int64;
  runs @3 : List(LiveRun);
  failedInRow @4 : Int32;
  refusedInRow @5 : Int32;
  lastOvertakenEnd @6 : Int64;
}

struct AgentState {
  agent @0 : Text;
  life @1 : Life;
  process @2 : Text;
  starts @3 : Int64;
  processBefore @4 : Text;
  lastStatement @5 : Int64;
  crashesInRow @6 : Int32;
  crashes @7 : List(List(Task));
  statementBefore @8 : Int64;
  beatsBefore @9 : Int32;
  earlierUptimeMs @10 : Int64;
  uptimeMs @11 : Int64;
  lateStarts @12 : List(LateStart);
}

struct MachineSample {
  run @0 : UInt64;
  residual @1 : Float64;
  comparison @2 : Bool;
  group @3 : UInt64;
}

struct MachineSpeed {
  agent @0 : Text;
  samples @1 : List(MachineSample);
  logSlowness @2 : Float64;
  lastUsed @3 : Int64;
}

struct GroupSample {
  run @0 : UInt64;
  agent @1 : Text;
  logTime @2 : Float64;
}

struct RunGroup {
  key @0 : Text;
  samples @1 : List(GroupSample);
  queue @2 : Text;
  logBase @3 : Float64;
  logDeclared @4 : Float64;
  remote @5 : Bool;
  lastUsed @6 : Int64;
}

struct QueueSample {
  group @0 : Text;
  logBase @1 : Float64;
  logDeclared @2 : Float64;
}

struct QueueTimes {
  queue @0 : Text;
  samples @1 : List(QueueSample);
}

struct RunTimes {
  machines @0 : List(MachineSpeed);
  groups @1 : List(RunGroup);
  queues @2 : List(QueueTimes);
  samples @3 : Int64;
  sinceRecentring @4 : Int64;
}

struct Snapshot {
  position @0 : Int64;
  jobs @1 : List(JobState);
  withdrawn @2 : List(Text);
  endedOrder @3 : List(Text);
  workers @4 : List(WorkerState);
  agents @5 : List(AgentState);
  planner @6 : Text;
  plannerEpoch @7 : Int64;
  accepted @8 : Int64;
  entries @9 : List(EntryRelay);
  runTimes @10 : RunTimes;
#In place of `position`, which is - 1 : an earlier version, which would take
#the jobs for malformed and drop them, then refuses the whole snapshot.
#Negative : a snapshot of an earlier version.
  compactPosition @11 : Int64 = -1;
#Of runs whose job has another payload, or none any more.
  payloads @12 : List(Text);
#In place of `jobs` and `endedOrder`.
  endedJobs @13 : List(EndedJob);
#What ended jobs have in common : all but the id.
  endedKinds @14 : List(Job);
  rulesVersion @15 : Int64;
}
