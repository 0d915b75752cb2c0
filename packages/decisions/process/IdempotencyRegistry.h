/// \file
/// Memory of requests that are unsafe to repeat, by idempotency key. Kept by
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

/// The whole answer to an unsafe request, kept for resubmissions.
struct StoredAnswer {
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;

  bool operator==(const StoredAnswer &) const = default;
};

/// What to do with a request that carries a key.
enum class KeyVerdict {
  Run,      ///< First time: run it; begin() has noted it.
  Running,  ///< The same request is running now.
  Answered, ///< It ran; the stored answer is returned.
  Unknown,  ///< It may have run; it must not run again.
  Reused,   ///< The key belongs to a different request.
  NotOwner  ///< This box does not own the slice now; nothing was run.
};

/// A request as the registry sees it.
struct KeyedRequest {
  GroupName m_Group;
  IdempotencyKey m_Key;
  std::uint64_t m_Fingerprint = 0; ///< Hash of method, path and body.
};

/// The time in a UUIDv7 key, or nothing when the key carries none.
std::optional<WallMillis> keyMintedAt(const IdempotencyKey &Key);

/// Registry of one box for the slices that it owns.
class IdempotencyRegistry {
public:
  struct Options {
    /// How long keys are remembered. A key with a time that is older than this
    /// is never run.
    Duration m_Retention = 900s;
    /// Largest difference between the clocks of callers and boxes.
    Duration m_ClockSkew = 5s;
    std::size_t m_MaxStoredBytes = 8 << 20;
    /// Hook for tests that take the check of the key's age out.
    bool m_CheckAge = true;
  };

  explicit IdempotencyRegistry(Options Opts);

  /// Starts ownership of \p Slice; keys minted before are not known here.
  void own(int Slice, TimePoint Now, WallMillis Wall);
  /// Ends ownership and forgets the slice's keys.
  void disown(int Slice);
  bool owns(int Slice) const { return m_OwnedSince.count(Slice) != 0; }

  /// Decides on a request, and notes it as running on KeyVerdict::Run.
  /// \p StoredOut receives the answer on KeyVerdict::Answered.
  KeyVerdict begin(const KeyedRequest &Request, TimePoint Now, WallMillis Wall,
                   StoredAnswer &StoredOut);
  /// The request was certainly not run; its key is free again.
  void notRun(const KeyedRequest &Request);
  /// The request ran and this is its answer.
  void answered(const KeyedRequest &Request, StoredAnswer Answer,
                TimePoint Now);
  /// Whether the request ran is not known, and never will be.
  void unknown(const KeyedRequest &Request, TimePoint Now);

  /// Forgets keys past the retention.
  void expire(TimePoint Now);
  std::size_t size() const { return m_Records.size(); }
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
    TimePoint m_Since;
    WallMillis m_Wall = 0;
  };

  using RecordKey = std::pair<GroupName, IdempotencyKey>;

  bool mayHaveRunBefore(const KeyedRequest &Request, const Ownership &Owned,
                        TimePoint Now, WallMillis Wall) const;
  Record *findRecord(const KeyedRequest &Request);

  Options m_Opts;
  std::map<int, Ownership> m_OwnedSince;
  std::map<RecordKey, Record> m_Records;
  std::size_t m_StoredBytes = 0;
};

} // namespace havenstair

#endif
