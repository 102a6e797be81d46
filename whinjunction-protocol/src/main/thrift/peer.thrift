/* Messages between entries. Generate with whinjunction-protocol/generate. */
namespace java io.whinjunction.protocol.generated

enum MemberStatus { ALIVE = 1, SUSPECT = 2, DEAD = 3, LEAVING = 4 }

/* Status of one member as recorded by another; the higher incarnation wins. */
struct MemberRecord {
  1: required string id
  2: required string address
  3: required string failureDomain
  4: required i64 incarnation
  5: required MemberStatus status
}

/* Gossip message. Its size is bounded whatever the size of the fleet: it carries recent changes only. */
struct Digest {
  1: required MemberRecord sender
  2: required i64 revision
  /* Age of the newest proof that this revision is the platform's current one; -1: none. */
  3: required i64 confirmationAgeMs
  4: required list<MemberRecord> changes
  5: required list<string> leavingUpstreams
}

/* The complete table, requested at start and periodically. */
struct MemberTable {
  1: required list<MemberRecord> members
}

struct ManifestDocument {
  1: required i64 revision
  2: required binary document
}

struct LimitDemand {
  1: required string member
  2: required i64 revision
  /* Requests per second received by the member, by team. */
  3: required map<string, double> demandPerSecond
}

struct LimitGrant {
  1: required i64 validMs
  2: required map<string, double> sharePerSecond
}

service Peer {
  Digest exchange(1: Digest digest)
  MemberTable members()
  ManifestDocument manifest()
  /* Offers a manifest that the platform has accepted; returns the revision held afterwards. */
  i64 offerManifest(1: ManifestDocument manifest)
  LimitGrant lend(1: LimitDemand demand)
}
