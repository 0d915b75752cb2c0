/// \file
/// Records requests that are unsafe to repeat, by idempotency key. Kept by
/// the one box that owns the key's slice. See docs/design/unsafe-requests.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_IDEMPOTENCYREGISTRY_H
#define HAVENSTAIR_DECISIONS_PROCESS_IDEMPOTENCYREGISTRY_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

/// The complete answer to an unsafe request, kept for resubmissions.
struct StoredAnswer {
  /// HTTP status code.
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;

  bool operator==(const StoredAnswer &) const = default;
};

/// What to do with a request that carries an idempotency key.
enum class KeyVerdict {
  /// First submission: run it; begin() has recorded it as running.
  Run,
  /// The same request is running now.
  Running,
  /// It has run; the stored answer is returned.
  Answered,
  /// It may have run, so it must not run again.
  Unknown,
  /// The key belongs to a different request.
  Reused,
  /// This box does not own the slice now; nothing was run or recorded.
  NotOwner
};

/// What the registry knows a request by.
struct KeyedRequest {
  GroupName m_Group;
  IdempotencyKey m_Key;
  /// Hash of method, path and body.
  std::uint64_t m_Fingerprint = 0;
};

/// The time in a UUIDv7 key; empty when the key has none.
std::optional<WallMillis> keyMintedAt(const IdempotencyKey &Key);

/// One box's registry of the key slices that it owns.
class IdempotencyRegistry {
public:
  struct Options {
    /// How long keys are remembered. A key whose time is older than this is
    /// never run.
    Duration m_Retention = 900s;
    /// Largest difference between the clocks of callers and boxes.
    Duration m_ClockSkew = 5s;
    /// Bound on the bodies of all stored answers, in bytes. Of an answer beyond
    /// it only the fact is kept that the request ran.
    std::size_t m_MaxStoredBytes = 8 << 20;
    /// Hook for tests that turn the check of a key's age off; true in the
    /// product.
    bool m_CheckAge = true;
  };

  explicit IdempotencyRegistry(Options Opts);

  /// Starts ownership of \p Slice at \p Now, \p Wall by the wall clock. Keys
  /// minted before are not known here.
  void own(int Slice, TimePoint Now, WallMillis Wall);
  /// Ends ownership of \p Slice and forgets its keys.
  void disown(int Slice);
  bool owns(int Slice) const { return m_OwnedSince.count(Slice) != 0; }

  /// Decides on a request, and records it as running on KeyVerdict::Run. \p
  /// StoredOut receives the answer on KeyVerdict::Answered.
  KeyVerdict begin(const KeyedRequest &Request, TimePoint Now, WallMillis Wall,
                   StoredAnswer &StoredOut);
  /// The request was certainly not run; its key is free again.
  void notRun(const KeyedRequest &Request);
  /// The request ran with this answer.
  void answered(const KeyedRequest &Request, StoredAnswer Answer,
                TimePoint Now);
  /// It is not known whether the request ran, and never will be.
  void unknown(const KeyedRequest &Request, TimePoint Now);

  /// Forgets keys that are past the retention.
  void expire(TimePoint Now);
  /// Number of keys that are remembered.
  std::size_t size() const { return m_Records.size(); }
  /// Bytes of all stored bodies.
  std::size_t storedBytes() const { return m_StoredBytes; }

private:
  enum class State { Running, Answered, Unknown };

  struct Record {
    std::uint64_t m_Fingerprint = 0;
    State m_State = State::Running;
    StoredAnswer m_Answer;
    TimePoint m_Since;
  };

  struct Ownership {
    /// When ownership began, by the monotonic and by the wall clock.
    TimePoint m_Since;
    WallMillis m_Wall = 0;
  };

  using RecordKey = std::pair<GroupName, IdempotencyKey>;

  /// Whether an unknown key may have run under an earlier owner, or under this
  /// one before it was forgotten.
  bool mayHaveRunBefore(const KeyedRequest &Request, const Ownership &Owned,
                        TimePoint Now, WallMillis Wall) const;
  /// Null when the key is not remembered.
  Record *findRecord(const KeyedRequest &Request);

  Options m_Opts;
  std::map<int, Ownership> m_OwnedSince;
  std::map<RecordKey, Record> m_Records;
  std::size_t m_StoredBytes = 0;
};

} // namespace havenstair

#endif
