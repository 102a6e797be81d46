/* Messages between routers, one per datagram. Generate with whinjunction-protocol/generate. */
namespace java io.whinjunction.protocol.generated

/* Status update of a router to a peer, and also a status query and its answer. */
struct RouterStatus {
  1: required string name
  /* IP:PORT at which the sender receives these messages. */
  2: required string address
  3: required string failureDomain
  /* Number of the status query; the answer repeats it. */
  4: required i64 sequence
  5: required bool answer
  /* Version of the configuration in force at the sender; -1 before the first. */
  6: required i64 version
  /* Age, when this was written, of the newest proof that this version is the platform's current one; -1: none. */
  7: required i64 proofAgeMs
  /* Engines that do not answer the sender, by name and start time. */
  8: required list<string> suspects
  /* Tokens times layers of the sender's requests in progress, by the engine's name and start time; only the
     busiest engines. */
  9: required map<string, i64> tokenLayersByEngine
  /* Addresses of other routers from which the sender received a status lately. */
  10: required list<string> routers
  /* The sender is about to stop. */
  11: required bool leaving
  /* Slowdown of engines as a multiple of their usual time, by name and start time; only engines slower than usual. */
  12: required map<string, double> paceByEngine
  /* The sender holds the lease under which layers are ordered. */
  13: required bool leading
  /* Age of the newest status from the holder of the lease, passed on from router to router; -1: none. */
  14: required i64 leaderAgeMs
  /* Revision of the sender's list of upstreams; 0 before the first. */
  15: required i64 listRevision
  /* Revision at which that list last changed; it did not change between this one and listRevision. */
  16: required i64 listChangedAt
  /* Age, when this was written, of the newest proof that the platform had no later revision; -1: none. */
  17: required i64 listAgeMs
  /* The sender watches the store for changes of the list. */
  18: required bool watchesList
  /* Era of the store to which the revision of that list belongs. */
  19: i64 listEra = 0
  /* Last known era of the store; 0 if the store reports none. */
  20: i64 storeEra = 0
  /* How long ago the sender learned that the store was restored from an older copy; -1: it was not, or long ago. */
  21: i64 storeReturnAgeMs = -1
  /* Services of which the sender has reached upstreams, with the age of its last contact with one; -1: it reaches none
     now. */
  22: map<string, i64> contactAgesMs = {}
  /* The sender sends requests of routers that are cut off from upstreams. */
  23: bool relays = 0
  /* How long ago the sender released the lease; -1: it did not, or long ago. */
  24: i64 leaseReleaseAgeMs = -1
  /* Engines that other routers reported as silent and that work as far as the sender sees, by name and start time. */
  25: list<string> workingEngines = []
  /* Services whose upstreams answered requests of the sender with success, with the age of the last such answer. */
  26: map<string, i64> answerAgesMs = {}
  /* Services with upstreams that name limits, of which the sender has not used up its share. */
  27: list<string> spareServices = []
}

/* Requests the changes of the list of upstreams. */
struct ChangesQuestion {
  1: required i64 afterRevision
  /* Era of the store to which the revision belongs. */
  2: i64 era = 0
}

/* An upstream as recorded in the list. */
struct ListedUpstream {
  1: required string id
  /* Start time in milliseconds since 1970; -1 if the upstream does not report it. */
  2: required i64 bornMs
  3: required string serviceName
  4: required string address
  5: required string failureDomain
  6: required i32 slots
  /* Kind of accelerator; absent for a plain service. */
  7: optional string kind
  /* First layer held, and one past the last; both 0 if none is held. */
  8: required i32 firstLayer
  9: required i32 endLayer
  10: required bool leaving
}

/* All changes of the list of upstreams after one revision, up to and including another. */
struct ChangesAnswer {
  1: required i64 afterRevision
  /* Not greater than afterRevision if the sender does not have the changes or they are too many for a datagram. */
  2: required i64 revision
  3: required list<ListedUpstream> changed
  4: required list<string> removed
  /* Era of the store to which both revisions belong. */
  5: i64 era = 0
}

/* Crash of an upstream while a request was starting there. */
struct UpstreamCrash {
  /* Name and start time of the upstream. */
  1: required string upstream
  2: required i64 ageMs
  /* The request had begun to run on the upstream and had produced nothing. */
  3: required bool running
}

/* Known crashes of upstreams under one request. */
struct CrashReport {
  /* Fingerprint that the request shares with its repeats. */
  1: required i64 fingerprint
  2: required list<UpstreamCrash> crashes
  /* How long ago the request was last seen to run well; -1: never. */
  3: required i64 ranWellAgeMs
}

/* Crash of an upstream while a request with a part of a prompt was starting there. */
struct PartCrash {
  /* Name and start time of the upstream. */
  1: required string upstream
  2: required i64 ageMs
  /* How long ago the request was sent to the upstream. */
  3: required i64 sentAgeMs
  /* The upstream had begun to answer the request. */
  4: required bool begun
  /* Fingerprint of the request. */
  5: required i64 fingerprint
}

/* Known crashes of upstreams under one part of prompts. */
struct PartCrashReport {
  1: required i64 part
  2: required list<PartCrash> crashes
  /* How long ago the latest request with the part began that ran well; -1: none did. */
  3: required i64 ranWellAgeMs
  /* How long ago the verdict of earlier routers was read from the store; -1: there is none. */
  4: i64 restoredAgeMs = -1
  /* Parts that explain the same crashes, as far as earlier routers knew. */
  5: list<i64> restoredAlternatives = []
}

struct CrashReports {
  1: required list<CrashReport> reports
  2: list<PartCrashReport> parts = []
}

/* Latest request limit announced by an upstream. */
struct UpstreamLimitWord {
  /* Name and start time of the upstream. */
  1: required string upstream
  /* Requests per second from all routers together; -1: the upstream no longer announces a limit. */
  2: required double perSecond
  3: required i64 ageMs
}

struct UpstreamLimitWords {
  1: required list<UpstreamLimitWord> words
}

/* Requests one retry of the receiver's share of the retry budget. */
struct RetryQuestion {
  /* Random number of the question; the answer repeats it. */
  1: required i64 number
  2: required string serviceName
  /* Routers that the sender knows, itself included. */
  3: required i32 routers
}

/* Answers a RetryQuestion. */
struct RetryAnswer {
  1: required i64 number
  2: required string serviceName
  /* One retry is lent. */
  3: required bool lent
}

/* Content of a datagram. */
union RouterMessage {
  1: RouterStatus status
  2: ChangesQuestion changesQuestion
  3: ChangesAnswer changesAnswer
  4: CrashReports crashReports
  5: UpstreamLimitWords limits
  6: RetryQuestion retryQuestion
  7: RetryAnswer retryAnswer
}
