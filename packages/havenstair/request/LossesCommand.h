/// \file
/// `havenstair losses`: sums up from the logs of several boxes how many
/// requests were late, refused or failed, and why. See docs/OPERATIONS.md.
#ifndef HAVENSTAIR_HAVENSTAIR_REQUEST_LOSSESCOMMAND_H
#define HAVENSTAIR_HAVENSTAIR_REQUEST_LOSSESCOMMAND_H

#include "wire/common/Json.h"
#include <cstddef>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

/// The result of one try of a caller, as the box logs it when the try ends. A
/// caller that was not served may send its request again: a second try.
struct TryResult {
  long long m_Time = 0;        ///< End of the try, in ms since the Unix epoch.
  std::string m_Route;         ///< Name of the route.
  std::string m_Model;         ///< Empty for a request without a model.
  std::string m_Organisation;  ///< Empty when the caller has none.
  std::string m_Outcome;       ///< "ok" or the code of the error.
  std::string m_RefusalReason; ///< Reason that admission gave; empty if none.
  /// Time in ms from the caller's first try to this one; 0 for a first try.
  double m_EarlierTriesMs = 0;
  double m_ExpectedMs = 0;   ///< Estimated time to the first token; 0 if none.
  double m_FirstTokenMs = 0; ///< Time to the first token; 0 if none came.
  double m_TokenGapMs = 0;   ///< Time between tokens, as the box logged it.
  double m_TotalMs = 0;      ///< Duration of the whole try.
  double m_FirstTokenTargetMs = 0; ///< Allowed time to the first token.
  double m_TokenGapTargetMs = 0;   ///< Allowed time between tokens; 0: any.
  int m_UpstreamAttempts = 0;      ///< How often it was sent to an upstream.

  bool operator==(const TryResult &) const = default;

  /// Whether the caller received a complete answer, in time or late.
  bool served() const { return m_Outcome == "ok"; }
  /// Whether the answer met both targets. The time to the first token counts
  /// from the caller's first try.
  bool inTime() const;
};

/// Parses a log line that reports the end of a try; empty for other lines.
std::optional<TryResult> parseTryResult(const std::string &Line);

/// How the credit of a try that was not answered in time is computed.
struct CreditWeights {
  double m_LateCredit = 0.3; ///< A late answer earns this; one in time, 1.
  /// Subtracted for an unserved wait as long as the target or longer; shorter
  /// waits cost their fraction of it.
  double m_UnservedWaitPenalty = 1;
  /// Subtracted when a second try is not served either.
  double m_RetryFailurePenalty = 0.3;

  bool operator==(const CreditWeights &) const = default;
};

/// Returns the credit of one try. A refusal earns nothing, however early it
/// comes.
double creditOf(const TryResult &Try, const CreditWeights &Weights);

/// Totals over the tries of one group of a LossTable.
struct LossTotals {
  std::size_t m_FirstTries = 0;    ///< Tries with m_EarlierTriesMs of 0.
  std::size_t m_SecondTries = 0;   ///< All later tries.
  std::size_t m_InTime = 0;        ///< Tries answered within both targets.
  std::size_t m_Late = 0;          ///< Tries answered, but not in time.
  std::size_t m_RefusedFirst = 0;  ///< First tries refused before they ran.
  std::size_t m_RefusedSecond = 0; ///< Second tries refused before they ran.
  std::size_t m_Failed = 0;        ///< Tries that ended in another error.
  double m_UnservedWaitMs = 0;     ///< Duration of all unserved tries.
  std::size_t m_Estimates = 0;     ///< Served tries that had an estimate.
  std::size_t m_AccurateEstimates = 0; ///< Estimates within a factor of 1.5.
  double m_Credit = 0;                 ///< Sum of creditOf() over all tries.
  /// Number of tries not answered in time, by cause.
  std::map<std::string, std::size_t> m_Causes;

  /// Adds one try to every total.
  void add(const TryResult &Try, const CreditWeights &Weights);
  /// Number of callers. A caller with two tries counts once, since it can earn
  /// at most one credit.
  std::size_t callers() const;
  /// Difference between one credit for each caller and the credit earned,
  /// which is negative for unserved waits.
  double lost() const;
  /// Average credit of a caller, at most 1; 0 without callers.
  double creditPerCaller() const;
};

/// What the tries are grouped by; Second is the second in which a try ended.
enum class LossGrouping { Route, Model, Organisation, Second };
/// Output format of `havenstair losses`.
enum class LossFormat { Table, Json };

/// Parses the value of `--by`. \throws CommandError for an unknown value.
LossGrouping parseLossGrouping(std::string_view Text);
/// Parses the value of `--format`. \throws CommandError for an unknown value.
LossFormat parseLossFormat(std::string_view Text);

/// Totals by the name of the group.
using LossTable = std::map<std::string, LossTotals>;

/// Adds the tries that \p Log reports to \p Losses; skips other lines.
void addLosses(std::istream &Log, LossGrouping Grouping,
               const CreditWeights &Weights, LossTable &Losses);

/// Formats the table for programs, in the order of toText().
Json toJson(const LossTable &Losses);
/// Formats the table for people; the groups with the largest loss come first.
std::string toText(const LossTable &Losses);

/// Prints the losses that the log files \p Files report.
/// \throws CommandError when a file cannot be read or no line reports the end
/// of a request.
void printLosses(const std::vector<std::string> &Files, LossGrouping Grouping,
                 const CreditWeights &Weights, LossFormat Format);

} // namespace havenstair

#endif
