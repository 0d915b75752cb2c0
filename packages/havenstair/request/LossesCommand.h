/// \file
/// `havenstair losses`: what callers lost and why, from the logs of several
/// boxes. See docs/OPERATIONS.md.
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

/// The last line that a box writes on a caller's try. Times in milliseconds.
struct TryEnd {
  long long m_Time = 0; ///< Since the Unix epoch.
  std::string m_Route;
  std::string m_Model;
  std::string m_Organisation; ///< Empty for nobody's.
  std::string m_Outcome;      ///< "ok" or the code of an error.
  std::string m_Judged;       ///< Why it was refused, by admission.
  double m_TriedBefore = 0;
  double m_Expected = 0;
  double m_First = 0; ///< 0 when nothing came.
  double m_Gap = 0;
  double m_Whole = 0;
  double m_Target = 0;
  double m_GapTarget = 0; ///< 0 for any.
  int m_Sends = 0;

  bool operator==(const TryEnd &) const = default;

  bool served() const { return m_Outcome == "ok"; }
  /// Within the target, counted from the caller's first try.
  bool inTime() const;
};

/// The try that \p Line ends; empty for other lines.
std::optional<TryEnd> tryEndFrom(const std::string &Line);

/// What a try is worth to its caller.
struct CreditWeights {
  double m_Late = 0.3; ///< Of an answer that comes late; in time it is 1.
  /// Taken off for waiting as long as the target without being served.
  double m_HeldForNothing = 1;
  /// Taken off when a caller that has come back is not served either.
  double m_SecondFailure = 0.3;

  bool operator==(const CreditWeights &) const = default;
};

/// The strict credit of one try. A refusal earns nothing, whenever it comes.
double creditOf(const TryEnd &Try, const CreditWeights &Weights);

/// Sums over the tries of one group.
struct LossSums {
  std::size_t m_FirstTries = 0;
  std::size_t m_SecondTries = 0;
  std::size_t m_InTime = 0;
  std::size_t m_Late = 0;
  std::size_t m_RefusedFirst = 0;
  std::size_t m_RefusedSecond = 0;
  std::size_t m_Failed = 0;
  double m_HeldMs = 0;         ///< Of tries that were not served.
  std::size_t m_Estimated = 0; ///< First tokens that were expected.
  std::size_t m_Close = 0;     ///< Of them within a factor of 1.5.
  double m_Credit = 0;
  std::map<std::string, std::size_t> m_Causes; ///< Of what was not in time.

  void add(const TryEnd &Try, const CreditWeights &Weights);
  /// Callers, not their tries: no more credit can be owed than one each.
  std::size_t callers() const;
  /// Credit that callers went without, and what waiting cost them besides.
  double lost() const;
  /// Strict credit for each caller, 1 at most; 0 without any.
  double creditPerCaller() const;
};

enum class LossGrouping { Route, Model, Organisation, Second };
enum class LossFormat { Table, Json };

/// \throws CommandError for another word.
LossGrouping parseLossGrouping(std::string_view Text);
LossFormat parseLossFormat(std::string_view Text);

using LossTable = std::map<std::string, LossSums>;

/// Adds the tries of \p Log to \p To.
void addLosses(std::istream &Log, LossGrouping By, const CreditWeights &Weights,
               LossTable &To);

/// For programs, in the same order.
Json toJson(const LossTable &Losses);
/// For people; the groups that lost the most first.
std::string toText(const LossTable &Losses);

/// Prints the losses told by \p Files.
/// \throws CommandError when a file cannot be read or tells of no try.
void printLosses(const std::vector<std::string> &Files, LossGrouping By,
                 const CreditWeights &Weights, LossFormat Format);

} // namespace havenstair

#endif
