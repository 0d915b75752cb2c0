/// \file
/// A box's copy of the token buckets of all organisations.
/// See docs/design/quotas.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_QUOTABOOK_H
#define HAVENSTAIR_DECISIONS_PROCESS_QUOTABOOK_H

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
  double m_Overage = 0;   ///< Part of what the quota allows in a window.
  double m_Allowance = 0; ///< Units besides.

  bool operator==(const QuotaTolerance &) const = default;

  /// Units of \p Of beyond the quota in one window.
  double slack(const Quota &Of) const {
    return m_Overage * (Of.m_RatePerSecond * inSeconds(m_Window) + Of.m_Burst) +
           m_Allowance;
  }
};

/// What one box tells of one organisation.
struct QuotaWord {
  double m_Used = 0;   ///< Through the box and its leaves, ever; may fall.
  double m_Recent = 0; ///< Of that, since the box last told of it.
  double m_Level = 0;  ///< Of the teller's copy of the bucket.

  bool operator==(const QuotaWord &) const = default;
};

using QuotaWords = std::map<std::string, QuotaWord>;

/// What a request asks of its organisation's quota.
struct QuotaRequest {
  double m_Units = 0;
  /// How long it may wait for its units and still be worth sending.
  Duration m_Patience = 0us;
  bool m_Waited = false; ///< It was told to wait, and its time has come.

  bool operator==(const QuotaRequest &) const = default;
};

enum class QuotaStep {
  Grant,
  Wait,  ///< The units are kept for it: ask again then.
  Refuse ///< The units will not be there in time.
};

/// Whether a request is within its organisation's quota.
struct QuotaVerdict {
  QuotaStep m_Step = QuotaStep::Refuse;
  /// When to ask again; of a refusal, when the units will be there, behind all
  /// that were refused before.
  Duration m_After = 0us;
  /// The bucket is far from empty.
  bool m_Ample = false;

  bool operator==(const QuotaVerdict &) const = default;

  bool granted() const { return m_Step == QuotaStep::Grant; }
};

/// What became of the requests of one organisation at one box since the last
/// account.
struct QuotaAccount {
  double m_Granted = 0; ///< Units that this box let pass.
  double m_Refused = 0; ///< Units of requests that it turned away.
  double m_Level = 0;   ///< Of its copy of the bucket.
  double m_RatePerSecond = 0;

  bool operator==(const QuotaAccount &) const = default;
};

using QuotaAccounts = std::map<std::string, QuotaAccount>;

/// Boxes that count (relays) hold copies of the same bucket and tell each other
/// what they used. A copy fills at the part of the rate that belongs to the
/// boxes that are heard of; what others say they used is taken off when the
/// word comes. Between two words of all others a box uses no more of a full
/// bucket than its own part. So boxes that are cut off from each other share
/// the limit, and what they use twice before they know of the cut is bounded.
class QuotaBook {
public:
  struct Options {
    QuotaTolerance m_Tolerance;
    /// A box that tells nothing for this long uses its own part. Boxes tell
    /// eight times a second, so three words in a row have to be lost.
    Duration m_Silence = 400ms;
    /// How long a book that starts takes the levels of others for its own.
    Duration m_StartPhase = 3s;
    /// Parts of the slack, which sum up with what is used twice between two
    /// words to less than all of it: that a full bucket holds more than its
    /// burst, that a request may exceed what is left, and that boxes which
    /// start with nothing known begin with.
    double m_CapPart = 0.1;
    double m_DebtPart = 0.1;
    double m_StartPart = 0.1;
    /// What a box may use between two words of all others: so much of its own
    /// part of a full bucket, five times its even use; or so much of the slack,
    /// a request or two of a small organisation.
    double m_RoundOfOwn = 0.5;
    double m_RoundPart = 0.05;
  };

  explicit QuotaBook(Options Opts) : m_Opts(Opts) {}

  void setTolerance(const QuotaTolerance &Tolerance) {
    m_Opts.m_Tolerance = Tolerance;
  }
  /// The quotas in force. An organisation that is new to a book that has
  /// settled has used nothing yet.
  void configure(const std::vector<Organisation> &All, TimePoint Now);
  /// This box counts for \p Own boxes out of \p All.
  void setBoxes(std::size_t Own, std::size_t All, TimePoint Now);
  /// Forgets all levels: other books know better.
  void restart(TimePoint Now);

  /// Takes units of \p Organisation, when they are there.
  QuotaVerdict trySpend(const std::string &Organisation,
                        const QuotaRequest &Request, TimePoint Now);
  /// Takes units that have been used already.
  QuotaVerdict spend(const std::string &Organisation, double Units,
                     TimePoint Now);
  /// The units did not reach an upstream.
  void giveBack(const std::string &Organisation, double Units, TimePoint Now);

  /// \p From counts for \p Boxes boxes. \p Settled: its levels are not those
  /// that it started with.
  void told(const BoxName &From, std::size_t Boxes, bool Settled,
            const QuotaWords &Words, TimePoint Now);
  /// What was used through this box since it was last told: of buckets that
  /// are nearly empty only, or of \p All.
  QuotaWords takeNews(bool All, TimePoint Now);
  /// Accounts since the last call of organisations whose bucket is nearly empty
  /// or who were turned away; all begin anew. Summed over all boxes they tell
  /// what was let pass of a quota.
  QuotaAccounts takeAccounts(TimePoint Now);
  bool settled(TimePoint Now) const {
    return Now - m_StartedAt >= m_Opts.m_StartPhase;
  }

  double level(const std::string &Organisation, TimePoint Now);
  /// Part of all limits that this book fills at, 0 to 1.
  double share() const { return m_Share; }
  /// No organisation has a limit.
  bool empty() const { return m_Buckets.empty(); }
  /// Drops boxes that have fallen silent.
  void tick(TimePoint Now);

private:
  struct Bucket {
    Quota m_Quota;
    double m_Level = 0;
    TimePoint m_FilledAt{};
    double m_Used = 0;
    double m_UsedTold = 0;
    double m_UsedInRound = 0;
    double m_Granted = 0; ///< Since the last account, as is the next.
    double m_Refused = 0;
    bool m_Learned = false; ///< The level is another book's.
    /// Up to when units are kept for requests that wait.
    TimePoint m_KeptTo{};
    /// Up to when refused callers were told to stay away.
    TimePoint m_ToldTo{};
  };
  struct Teller {
    std::size_t m_Boxes = 0;
    TimePoint m_HeardAt{};
    bool m_Silent = false;
    std::map<std::string, double> m_Used;
  };

  /// The bucket of \p Organisation, filled up to \p Now; null without a limit.
  Bucket *filled(const std::string &Organisation, TimePoint Now);
  double wholeCap(const Bucket &Of) const;
  double cap(const Bucket &Of) const { return wholeCap(Of) * m_Share; }
  double slack(const Bucket &Of) const;
  double ownPart() const;
  double roundLimit(const Bucket &Of) const;
  QuotaVerdict judge(Bucket &Of, const QuotaRequest &Request, TimePoint Now);
  QuotaVerdict notNow(Bucket &Of, const QuotaRequest &Request,
                      TimePoint Now) const;
  void beginRound(TimePoint Now);
  void fill(Bucket &Of, TimePoint Now) const;
  void charge(Bucket &Of, double Units) const;
  bool ample(const Bucket &Of) const;
  void refreshShare(TimePoint Now);
  void take(Teller &From, const std::string &Organisation,
            const QuotaWord &Word, bool Settled, double Forgiven,
            TimePoint Now);

  Options m_Opts;
  std::map<std::string, Bucket> m_Buckets;
  std::map<BoxName, Teller> m_Tellers;
  std::size_t m_OwnBoxes = 0;
  std::size_t m_AllBoxes = 1;
  double m_Share = 0;
  /// Since when some other box has not told anything.
  TimePoint m_RoundAt{};
  TimePoint m_StartedAt{};
};

} // namespace havenstair

#endif
