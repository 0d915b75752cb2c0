/// \file
/// Orders to one model engine, safe against loss, delay, doubling and a
/// change of the ordering box. See docs/design/engine-orders.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ENGINEORDERS_H
#define HAVENSTAIR_DECISIONS_PROCESS_ENGINEORDERS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/MemoryLedger.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace havenstair {

/// What an order asks of an engine.
enum class OrderVerb { Load, Unload, SetKvReserve };

/// Position of an order: the assignment that allows it, then a counter.
/// Engines that check tokens refuse any order whose token is not higher than
/// the highest they have seen.
struct OrderToken {
  FencingToken m_Assignment = 0;
  std::uint64_t m_Sequence = 0;

  auto operator<=>(const OrderToken &) const = default;
};

/// One order, as it is sent and as it is journaled.
struct EngineOrder {
  OrderId m_Id;
  OrderVerb m_Verb = OrderVerb::Load;
  ArtifactName m_Artifact; ///< Empty for SetKvReserve.
  MemoryMiB m_Size = 0;    ///< Size of the artifact, or the new reserve.
  OrderToken m_Token;
  BoxName m_Writer;

  bool operator==(const EngineOrder &) const = default;
};

/// An artifact that the engine holds or is loading.
struct ReportedArtifact {
  ArtifactName m_Artifact;
  MemoryMiB m_Size = 0;
  bool m_Ready = false; ///< False while it loads; its memory is taken.

  bool operator==(const ReportedArtifact &) const = default;
};

/// The engine's own ledger at one moment.
struct EngineReport {
  OrderToken m_HighestToken; ///< Zero from engines that check none.
  MemoryMiB m_KvReserve = 0;
  std::vector<ReportedArtifact> m_Artifacts;

  bool operator==(const EngineReport &) const = default;
};

/// Journal of one engine in the platform's service. Only the holder of the
/// highest token may change it, by compare-and-swap.
struct OrderJournal {
  FencingToken m_Token = 0;
  std::vector<EngineOrder> m_Unsettled;

  bool operator==(const OrderJournal &) const = default;
};

struct WriteJournal {
  OrderJournal m_Journal;
};
struct SendOrder {
  EngineOrder m_Order;
};
struct RaiseToken {
  OrderToken m_Token;
};
struct ReadReport {};
struct ReadJournal {};

/// What the caller has to do next for this engine.
using EngineAction =
    std::variant<WriteJournal, SendOrder, RaiseToken, ReadReport, ReadJournal>;
using EngineActions = std::vector<EngineAction>;

/// State machine of the box that owns an engine. Memory is counted as taken
/// from before an order leaves until the engine's report settles it.
class EngineOrders {
public:
  struct Options {
    BoxName m_Self;
    MemoryMiB m_Capacity = 0;
    MemoryMiB m_KvReserve = 0;
    bool m_ChecksTokens = true;
    /// Longest time between the end of an attempt to send an order and the
    /// last moment at which the engine may still act on it.
    Duration m_OrderLife = 5s;
    /// Time after which the report is read again while something is on its
    /// way: an order, a load, or the takeover.
    Duration m_ReportInterval = 1s;
    /// The same while nothing is.
    Duration m_QuietInterval = 10s;
    /// Hook for tests that take the reservation out; true in the product.
    bool m_CountUnsettled = true;
  };

  explicit EngineOrders(Options Opts);

  /// Starts ownership under the assignment \p Token.
  EngineActions takeOver(FencingToken Token, TimePoint Now);
  /// Ends ownership at once; nothing is ordered from here on.
  void resign();

  /// Asks for a load. \returns no actions when the engine is not ready, the
  /// artifact is known already, or its size does not fit.
  EngineActions load(const ArtifactName &Artifact, MemoryMiB Size,
                     TimePoint Now);
  EngineActions unload(const ArtifactName &Artifact, TimePoint Now);
  EngineActions setKvReserve(MemoryMiB Reserve, TimePoint Now);

  /// The journal as an earlier owner left it. May come again while the first
  /// write has not taken effect.
  EngineActions journalRead(const OrderJournal &Journal, TimePoint Now);
  /// The last WriteJournal took effect.
  EngineActions journalWritten(TimePoint Now);
  /// The last WriteJournal failed or its answer was lost.
  EngineActions journalFailed(TimePoint Now);
  /// An attempt to send \p Id ended, answered or not; its connection is
  /// closed and nothing more will be written for it.
  EngineActions attemptEnded(const OrderId &Id, TimePoint Now);
  /// A report; \p AsOf is when it was asked for.
  EngineActions reported(const EngineReport &Report, TimePoint AsOf,
                         TimePoint Now);
  /// \p Writer is known to have dropped all orders it had in hand: it works
  /// under a newer assignment, or the platform no longer lists it.
  EngineActions writerMovedOn(const BoxName &Writer, TimePoint Now);
  EngineActions tick(TimePoint Now);

  /// A later owner wrote \p Journal. Its index is not for this owner: writing
  /// under it would undo the fence.
  bool fencedOutBy(const OrderJournal &Journal) const {
    return Journal.m_Token > m_Token;
  }
  bool owned() const { return m_Token != 0; }
  bool ready() const { return m_Ready; }
  const MemoryLedger &ledger() const { return m_Ledger; }
  /// Artifacts that the latest report shows as ready to serve.
  const std::set<ArtifactName> &serving() const { return m_Serving; }
  std::vector<EngineOrder> unsettled() const;
  /// Former owners whose unsettled orders are still held against memory.
  std::set<BoxName> formerWriters() const;

private:
  enum class Stage { Journaling, Sending, Ended };

  struct PendingOrder {
    EngineOrder m_Order;
    Stage m_Stage = Stage::Journaling;
    std::optional<TimePoint> m_EndedAt;
  };

  EngineActions place(EngineOrder Order, TimePoint Now);
  EngineOrder makeOrder(OrderVerb Verb, const ArtifactName &Artifact,
                        MemoryMiB Size);
  EngineActions sendJournaled();
  OrderJournal currentJournal() const;
  bool settles(const PendingOrder &Pending, const EngineReport &Report,
               TimePoint AsOf) const;
  void adopt(const EngineReport &Report);
  MemoryMiB reserveToCount(MemoryMiB Reported) const;
  bool hasPending(const ArtifactName &Artifact) const;
  EngineActions requestJournalWrite();
  bool quiet() const;
  void recountHeldOrders();

  Options m_Opts;
  MemoryLedger m_Ledger;
  FencingToken m_Token = 0;
  std::uint64_t m_Sequence = 0;
  bool m_Ready = false;
  bool m_JournalKnown = false;
  /// A write under m_Token took effect, so no earlier owner can write.
  bool m_JournalFenced = false;
  bool m_JournalWriteInFlight = false;
  bool m_JournalDirty = false;
  std::map<OrderId, PendingOrder> m_Pending;
  std::set<ArtifactName> m_Serving;
  std::optional<TimePoint> m_LastReport;
  std::optional<TimePoint> m_LastAsk;
};

} // namespace havenstair

#endif
