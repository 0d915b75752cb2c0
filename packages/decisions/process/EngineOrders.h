/// \file
/// Orders to one model engine, safe against loss, delay, duplication and a
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

/// Position of an order: the assignment that allows it, then a counter. An
/// engine that checks tokens refuses any order whose token is not higher than
/// the highest that it has seen.
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
  /// Size of the artifact, or the new reserve, in MiB.
  MemoryMiB m_Size = 0;
  OrderToken m_Token;
  /// The box that gives the order.
  BoxName m_Writer;

  bool operator==(const EngineOrder &) const = default;
};

/// An artifact that the engine holds or is loading.
struct ReportedArtifact {
  ArtifactName m_Artifact;
  MemoryMiB m_Size = 0;
  /// False while the artifact is being loaded; its memory is taken already.
  bool m_Ready = false;

  bool operator==(const ReportedArtifact &) const = default;
};

/// What the engine holds at one moment, by its own account.
struct EngineReport {
  /// The highest token seen; zero from engines that check none.
  OrderToken m_HighestToken;
  /// Memory reserved for the key-value cache, in MiB.
  MemoryMiB m_KvReserve = 0;
  std::vector<ReportedArtifact> m_Artifacts;

  bool operator==(const EngineReport &) const = default;
};

/// Journal of one engine's orders in the platform's store. Only the owner with
/// the highest token may change it, by compare-and-swap.
struct OrderJournal {
  FencingToken m_Token = 0;
  std::vector<EngineOrder> m_Unsettled;

  bool operator==(const OrderJournal &) const = default;
};

/// Write the journal, then call journalWritten() or journalFailed().
struct WriteJournal {
  OrderJournal m_Journal;
};
/// Send the order, then call attemptEnded().
struct SendOrder {
  EngineOrder m_Order;
};
/// Raise the engine's highest token, so that it refuses orders of earlier
/// owners.
struct RaiseToken {
  OrderToken m_Token;
};
/// Read the engine's report, then call reported().
struct ReadReport {};
/// Read the journal, then call journalRead().
struct ReadJournal {};

/// What the caller has to do next for this engine.
using EngineAction =
    std::variant<WriteJournal, SendOrder, RaiseToken, ReadReport, ReadJournal>;
using EngineActions = std::vector<EngineAction>;

/// State machine of the box that owns an engine. Memory counts as taken from
/// before an order is sent until the engine's report settles the order.
class EngineOrders {
public:
  struct Options {
    /// This box.
    BoxName m_Self;
    /// Memory of the engine, in MiB.
    MemoryMiB m_Capacity = 0;
    /// Memory reserved at first for the key-value cache, in MiB.
    MemoryMiB m_KvReserve = 0;
    /// Whether the engine checks tokens; otherwise orders go through the
    /// journal.
    bool m_ChecksTokens = true;
    /// Longest time between the end of an attempt to send an order and the last
    /// moment at which the engine may still carry it out.
    Duration m_OrderLife = 5s;
    /// Time after which the report is read again while something is under way:
    /// an order, a load, or the takeover.
    Duration m_ReportInterval = 1s;
    /// The same while nothing is under way.
    Duration m_QuietInterval = 10s;
    /// Hook for tests that turn the reservation off; true in the product.
    bool m_CountUnsettled = true;
  };

  explicit EngineOrders(Options Opts);

  /// Starts ownership under the assignment \p Token.
  EngineActions takeOver(FencingToken Token, TimePoint Now);
  /// Ends ownership at once; no orders are sent afterwards.
  void resign();

  /// Requests a load. \returns no actions when this box is not ready, the
  /// artifact is known already, or its size does not fit.
  EngineActions load(const ArtifactName &Artifact, MemoryMiB Size,
                     TimePoint Now);
  /// Requests an unload. \returns no actions when this box is not ready or the
  /// artifact is not loaded.
  EngineActions unload(const ArtifactName &Artifact, TimePoint Now);
  /// Requests another reserve for the key-value cache. \returns no actions when
  /// this box is not ready, another change is pending, or it does not fit.
  EngineActions setKvReserve(MemoryMiB Reserve, TimePoint Now);

  /// Takes over the journal as an earlier owner left it. May be called again
  /// while the first write has not taken effect.
  EngineActions journalRead(const OrderJournal &Journal, TimePoint Now);
  /// The last WriteJournal took effect.
  EngineActions journalWritten(TimePoint Now);
  /// The last WriteJournal failed, or its answer was lost.
  EngineActions journalFailed(TimePoint Now);
  /// An attempt to send \p Id ended, with or without an answer; its connection
  /// is closed and nothing more is written for it.
  EngineActions attemptEnded(const OrderId &Id, TimePoint Now);
  /// Takes over a report that was requested at \p AsOf.
  EngineActions reported(const EngineReport &Report, TimePoint AsOf,
                         TimePoint Now);
  /// \p Writer is known to have dropped all orders that it had yet to send: it
  /// works under a newer assignment, or the platform no longer lists it.
  EngineActions writerMovedOn(const BoxName &Writer, TimePoint Now);
  /// What to do as time passes: repeat reads, writes and lost orders that are
  /// due.
  EngineActions tick(TimePoint Now);

  /// Whether a later owner wrote \p Journal. This owner must not use the
  /// journal's index: writing under it would undo the fencing.
  bool fencedOutBy(const OrderJournal &Journal) const {
    return Journal.m_Token > m_Token;
  }
  /// Whether this box owns the engine.
  bool owned() const { return m_Token != 0; }
  /// Whether the engine's state is known and orders may be given.
  bool ready() const { return m_Ready; }
  /// Memory that the engine's artifacts and pending orders take.
  const MemoryLedger &ledger() const { return m_Ledger; }
  /// Artifacts that the latest report shows as ready to serve.
  const std::set<ArtifactName> &serving() const { return m_Serving; }
  /// Orders that the engine may still carry out.
  std::vector<EngineOrder> unsettled() const;
  /// Former owners whose unsettled orders still count against memory.
  std::set<BoxName> formerWriters() const;

private:
  /// Progress of an order: it waits for the journal, is being sent, or its
  /// attempt has ended.
  enum class Stage { Journaling, Sending, Ended };

  struct PendingOrder {
    EngineOrder m_Order;
    Stage m_Stage = Stage::Journaling;
    /// When the attempt ended; empty before.
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
  /// Whether a write under m_Token took effect, so no earlier owner can write.
  bool m_JournalFenced = false;
  bool m_JournalWriteInFlight = false;
  /// Whether the journal has to be written again.
  bool m_JournalDirty = false;
  std::map<OrderId, PendingOrder> m_Pending;
  std::set<ArtifactName> m_Serving;
  std::optional<TimePoint> m_LastReport;
  /// When an action was last requested; tick() waits from then.
  std::optional<TimePoint> m_LastAsk;
};

} // namespace havenstair

#endif
