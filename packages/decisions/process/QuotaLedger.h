/// \file
/// Limits the rate of organisations by token buckets that boxes replicate.
/// See docs/design/quotas.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_QUOTALEDGER_H
#define HAVENSTAIR_DECISIONS_PROCESS_QUOTALEDGER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/version/Organisation.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// By how much the fleet's use of a quota may exceed it in a sliding window.
struct QuotaTolerance {
  Duration m_Window = 8s;
  double m_Overage = 0;   ///< Fraction of what the quota allows in a window.
  double m_Allowance = 0; ///< Units that are allowed besides.

  bool operator==(const QuotaTolerance &) const = default;

  /// Units that may be used beyond \p Limit in one window.
  double slack(const Quota &Limit) const {
    return m_Overage *
               (Limit.m_RatePerSecond * inSeconds(m_Window) + Limit.m_Burst) +
           m_Allowance;
  }
};

/// What one box reports to its peers about one organisation, in units.
struct QuotaReport {
  /// Total used through the box and its leaves since the box started. Falls
  /// when units are refunded.
  double m_Used = 0;
  double m_Recent = 0; ///< Part of it used since the box's previous report.
  double m_Level = 0;  ///< Level of the sender's replica of the bucket.

  bool operator==(const QuotaReport &) const = default;
};

/// Reports by the name of the organisation.
using QuotaReports = std::map<std::string, QuotaReport>;

/// What a request needs of its organisation's quota.
struct QuotaRequest {
  double m_Units = 0;
  /// How long the request may wait for its units and still be worth sending.
  Duration m_Patience = 0us;
  bool m_Waited = false; ///< It was told to wait, and that time has passed.

  bool operator==(const QuotaRequest &) const = default;
};

/// How to go on with a request.
enum class QuotaStep {
  Grant, ///< The units are taken; the request may be sent.
  Wait,  ///< Ask again after `QuotaVerdict::m_After`; units may be reserved.
  Refuse ///< The units will not be available within the request's patience.
};

/// Whether a request is within its organisation's quota.
struct QuotaVerdict {
  QuotaStep m_Step = QuotaStep::Refuse;
  /// Time until a waiting request asks again. For a refused request, time until
  /// the units are expected, queued behind all requests refused before.
  Duration m_After = 0us;
  /// The bucket is far from empty.
  bool m_Ample = false;

  bool operator==(const QuotaVerdict &) const = default;

  bool granted() const { return m_Step == QuotaStep::Grant; }
};

/// Units granted and refused to one organisation at one box since the previous
/// account.
struct QuotaAccount {
  double m_Granted = 0;       ///< Units that this box charged.
  double m_Refused = 0;       ///< Units of the requests that it refused.
  double m_Level = 0;         ///< Level of its replica of the bucket, in units.
  double m_RatePerSecond = 0; ///< Rate of the quota, in units per second.

  bool operator==(const QuotaAccount &) const = default;
};

/// Accounts by the name of the organisation.
using QuotaAccounts = std::map<std::string, QuotaAccount>;

/// A relay's replica of the token buckets of all organisations. Relays send
/// each other reports of the units they used, and each subtracts what its peers
/// report from its own replica. A replica fills at the share of the rate that
/// belongs to the boxes that report. Between two reports of all peers
/// (a round) a box uses no more of a full bucket than its own share. So boxes
/// that are partitioned from each other share the limit, and what they spend
/// twice before they notice the partition is bounded.
class QuotaLedger {
public:
  struct Options {
    QuotaTolerance m_Tolerance;
    /// A peer that reports nothing for this long is taken to use its own share.
    /// Boxes report eight times a second, so this takes three lost reports in a
    /// row.
    Duration m_SilenceTimeout = 400ms;
    /// How long a ledger that starts adopts the levels that peers report.
    Duration m_StartPhase = 3s;
    /// Fractions of the tolerance's slack. Together with what is spent twice
    /// between two reports they add up to less than the whole slack.
    /// How far a full bucket exceeds the burst.
    double m_CapFraction = 0.1;
    /// How far below zero a request may take the level.
    double m_DebtFraction = 0.1;
    /// What all boxes together start with while no level is known.
    double m_StartFraction = 0.1;
    /// A box may use the greater of two bounds between two reports of all
    /// peers. The first is a fraction of its own share of a full bucket, five
    /// times its use at an even rate.
    double m_RoundOwnFraction = 0.5;
    /// The second is a fraction of the slack: a request or two of a small
    /// organisation.
    double m_RoundSlackFraction = 0.05;
  };

  explicit QuotaLedger(Options Opts) : m_Opts(Opts) {}

  void setTolerance(const QuotaTolerance &Tolerance) {
    m_Opts.m_Tolerance = Tolerance;
  }
  /// Takes over the quotas in force. A new organisation starts with a full
  /// bucket once the ledger is settled, as it has used nothing yet.
  void configure(const std::vector<Organisation> &All, TimePoint Now);
  /// This box counts for \p Own boxes out of \p All.
  void setBoxes(std::size_t Own, std::size_t All, TimePoint Now);
  /// Forgets all levels and peers and begins the start phase again, because the
  /// ledgers of other boxes are more up to date.
  void restart(TimePoint Now);

  /// Takes units of \p Organisation if they are available.
  QuotaVerdict trySpend(const std::string &Organisation,
                        const QuotaRequest &Request, TimePoint Now);
  /// Charges units that have been used already, whatever the level.
  QuotaVerdict spend(const std::string &Organisation, double Units,
                     TimePoint Now);
  /// Returns units that were taken for a request that reached no upstream.
  void refund(const std::string &Organisation, double Units, TimePoint Now);

  /// Takes in the reports of the box \p From, which counts for \p Boxes boxes.
  /// \p Settled: its levels are no longer those that it started with.
  void receive(const BoxName &From, std::size_t Boxes, bool Settled,
               const QuotaReports &Reports, TimePoint Now);
  /// What was used through this box since its previous report: of nearly empty
  /// buckets only, or of \p All.
  QuotaReports takeReports(bool All, TimePoint Now);
  /// Accounts since the previous call, for organisations whose bucket is nearly
  /// empty or that were refused; all counts begin anew. The sum over all boxes
  /// is what was granted of a quota.
  QuotaAccounts takeAccounts(TimePoint Now);
  /// Whether the start phase is over.
  bool settled(TimePoint Now) const {
    return Now - m_StartedAt >= m_Opts.m_StartPhase;
  }

  /// Units in the bucket of \p Organisation; 0 without a limit.
  double level(const std::string &Organisation, TimePoint Now);
  /// Share of all limits at which this ledger fills, from 0 to 1.
  double share() const { return m_Share; }
  /// Whether no organisation has a limit.
  bool empty() const { return m_Buckets.empty(); }
  /// Drops the share of peers that have fallen silent.
  void tick(TimePoint Now);

private:
  struct TokenBucket {
    Quota m_Quota;
    double m_Level = 0; ///< Units.
    TimePoint m_FilledAt{};
    double m_Used = 0;         ///< Units since the process started.
    double m_UsedReported = 0; ///< `m_Used` as of the last report.
    double m_UsedInRound = 0;
    double m_Granted = 0;        ///< Units since the last account.
    double m_Refused = 0;        ///< Units since the last account.
    bool m_LevelLearned = false; ///< The level was taken over from a peer.
    /// Time by which the units reserved for waiting requests are earned.
    TimePoint m_ReservedUntil{};
    /// Latest retry time that refused callers were given, and their use of it.
    TimePoint m_NextRetryAt{};
  };
  struct PeerUsage {
    std::size_t m_Boxes = 0; ///< Boxes that the peer counts for.
    TimePoint m_ReportedAt{};
    bool m_Silent = false;
    /// `QuotaReport::m_Used` of the last report, by organisation.
    std::map<std::string, double> m_Used;
  };

  /// The bucket of \p Organisation, filled up to \p Now; null without a limit.
  TokenBucket *filled(const std::string &Organisation, TimePoint Now);
  double fleetCap(const TokenBucket &Bucket) const;
  double cap(const TokenBucket &Bucket) const {
    return fleetCap(Bucket) * m_Share;
  }
  double slack(const TokenBucket &Bucket) const;
  double ownShare() const;
  double roundLimit(const TokenBucket &Bucket) const;
  QuotaVerdict decide(TokenBucket &Bucket, const QuotaRequest &Request,
                      TimePoint Now);
  QuotaVerdict waitOrRefuse(TokenBucket &Bucket, const QuotaRequest &Request,
                            TimePoint Now) const;
  void beginRound(TimePoint Now);
  void fill(TokenBucket &Bucket, TimePoint Now) const;
  void charge(TokenBucket &Bucket, double Units) const;
  bool ample(const TokenBucket &Bucket) const;
  void refreshShare(TimePoint Now);
  void mergeReport(PeerUsage &From, const std::string &Organisation,
                   const QuotaReport &Report, bool Settled,
                   double OwnShareSeconds, TimePoint Now);

  Options m_Opts;
  std::map<std::string, TokenBucket> m_Buckets; ///< By organisation.
  std::map<BoxName, PeerUsage> m_Peers;
  std::size_t m_OwnBoxes = 0;
  std::size_t m_AllBoxes = 1;
  double m_Share = 0;
  /// Start of the round: since then some peer has not reported yet.
  TimePoint m_RoundStartedAt{};
  TimePoint m_StartedAt{};
};

} // namespace havenstair

#endif
