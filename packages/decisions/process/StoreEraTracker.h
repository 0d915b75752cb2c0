/// \file
/// Tracks the era of the store, and which of its answers are of use. See
/// docs/design/store-restore.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_STOREERATRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_STOREERATRACKER_H

#include "decisions/common/Id.h"
#include "decisions/common/StoreRevision.h"
#include <functional>
#include <optional>

namespace havenstair {

/// What the head of an answer of the store says about its era.
struct EraReport {
  std::optional<StoreEra> m_Era; ///< Empty when the answer names none.
  bool m_Malformed = false;      ///< It names several, or what is no era.

  bool operator==(const EraReport &) const = default;
};

/// Keeps the newest era that the store or another box has reported. Eras only
/// rise: an answer of an earlier era tells the state of a store that no longer
/// exists.
class StoreEraTracker {
public:
  /// A newer era was learned.
  struct Change {
    StoreEra m_Before = FirstEra;
    StoreEra m_Now = FirstEra;
    /// The box that reported it; empty when the store did.
    BoxName m_By;
    /// Whether an earlier era was known, so that what was read and written
    /// under it may be gone. False for the first report.
    bool m_Restored = false;
  };
  struct Hooks {
    std::function<void(const Change &)> m_Changed;
    /// The store sent a report that is malformed or of an earlier era.
    std::function<void(const EraReport &)> m_Ignored;
  };

  explicit StoreEraTracker(Hooks Callbacks);

  /// The newest era known.
  StoreEra current() const { return m_Current; }
  /// The same; empty before the first report.
  std::optional<StoreEra> known() const {
    return m_Known ? std::optional(m_Current) : std::nullopt;
  }
  /// Number of times that the store is known to have been restored.
  std::uint64_t restores() const { return m_Restores; }

  /// Records the report of an answer to a call that was sent while \p SentUnder
  /// was known(). \returns the era of the answer; empty when the answer is of
  /// no use, as its era is over.
  std::optional<StoreEra> admit(const EraReport &Report,
                                std::optional<StoreEra> SentUnder);
  /// Records the newest era that the box \p By knows.
  void learn(StoreEra Era, const BoxName &By);

private:
  void raise(StoreEra Era, const BoxName &By);

  Hooks m_Hooks;
  StoreEra m_Current = FirstEra;
  bool m_Known = false; ///< Whether the store has answered, or a box reported.
  std::uint64_t m_Restores = 0;
};

} // namespace havenstair

#endif
