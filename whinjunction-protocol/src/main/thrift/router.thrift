/* Messages between routers, one to a datagram. Generate with whinjunction-protocol/generate. */
namespace java io.whinjunction.protocol.generated

/* What one router tells another; a question is answered by the same. */
struct RouterStatus {
  1: required string name
  /* IP:PORT that it takes these messages at. */
  2: required string address
  3: required string failureDomain
  /* Of the question; the answer repeats it. */
  4: required i64 sequence
  5: required bool answer
  /* The configuration in force. */
  6: required i64 version
  /* Age of the newest proof that this version is the platform's, when this was written; -1: none. */
  7: required i64 proofAgeMs
  /* Engines that don't answer, by name and start. */
  8: required list<string> suspects
  /* Tokens times layers of its requests in progress, by the engine's name and start; the busiest engines. */
  9: required map<string, i64> tokenLayersByEngine
  /* Addresses of other routers that it has heard of lately. */
  10: required list<string> routers
  /* It is about to stop. */
  11: required bool leaving
  /* How many times slower than usual engines work, by name and start, where it is more than usual. */
  12: required map<string, double> paceByEngine
  /* It holds the lease under which layers are ordered. */
  13: required bool leading
  /* Age of the newest word from whoever holds the lease, passed on from one to the next; -1: none. */
  14: required i64 leaderAgeMs
}
