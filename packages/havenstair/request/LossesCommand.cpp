#include "havenstair/request/LossesCommand.h"

#include "havenstair/common/ExitCode.h"
#include "havenstair/common/TextTable.h"
#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>

namespace havenstair {

namespace {

/// An estimate is close within this factor.
constexpr double CloseFactor = 1.5;

/// Codes of refusals: the request has not run.
bool isRefusal(const std::string &Outcome) {
  return Outcome == "overloaded" || Outcome == "no_resident_copy" ||
         Outcome == "no_upstream" || Outcome == "no_allowed_region" ||
         Outcome == "no_allowed_upstream" || Outcome == "stopping" ||
         Outcome == "no_configuration" || Outcome == "deadline_passed";
}

/// Why a try was not served in time.
std::string causeOf(const TryEnd &Try) {
  if (!Try.served())
    return Try.m_Judged.empty() || !isRefusal(Try.m_Outcome)
               ? Try.m_Outcome
               : Try.m_Outcome + "/" + Try.m_Judged;
  if (Try.m_TriedBefore + Try.m_First <= Try.m_Target)
    return "pause";
  if (Try.m_TriedBefore > 0)
    return "late second try";
  return Try.m_Expected > Try.m_Target ? "late as expected"
                                       : "late against expectation";
}

std::string groupOf(const TryEnd &Try, LossGrouping By) {
  switch (By) {
  case LossGrouping::Route:
    return Try.m_Route;
  case LossGrouping::Model:
    return Try.m_Model.empty() ? "(none)" : Try.m_Model;
  case LossGrouping::Organisation:
    return Try.m_Organisation.empty() ? "(none)" : Try.m_Organisation;
  case LossGrouping::Second:
    return std::to_string(Try.m_Time / 1000);
  }
  return {};
}

std::string fixed(double Value, int Digits) {
  const double Scale = std::pow(10, Digits);
  return cellOf(Json(std::round(Value * Scale) / Scale));
}

std::string topCauses(const LossSums &Of) {
  constexpr std::size_t Shown = 3;
  std::vector<std::pair<std::size_t, std::string>> Ranked;
  for (const auto &[Cause, Count] : Of.m_Causes)
    Ranked.emplace_back(Count, Cause);
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::string Text;
  for (std::size_t Rank = 0; Rank < std::min(Shown, Ranked.size()); ++Rank)
    Text += (Rank == 0 ? "" : ", ") + Ranked[Rank].second + " " +
            std::to_string(Ranked[Rank].first);
  return Text;
}

} // namespace

bool TryEnd::inTime() const {
  return served() && m_TriedBefore + m_First <= m_Target &&
         (m_GapTarget <= 0 || m_Gap <= m_GapTarget);
}

std::optional<TryEnd> tryEndFrom(const std::string &Line) {
  const std::size_t Start = Line.find('{');
  if (Start == std::string::npos ||
      Line.find("answered\"") == std::string::npos)
    return std::nullopt;
  try {
    const Json From = parseJson(Line.substr(Start));
    const auto Event = fieldOr<std::string>(From, "event", "");
    if (Event != "answered" && Event != "not_answered")
      return std::nullopt;
    return TryEnd{.m_Time = fieldOr<long long>(From, "time", 0),
                  .m_Route = fieldOr<std::string>(From, "route", ""),
                  .m_Model = fieldOr<std::string>(From, "model", ""),
                  .m_Organisation =
                      fieldOr<std::string>(From, "organisation", ""),
                  .m_Outcome = field<std::string>(From, "outcome"),
                  .m_Judged = fieldOr<std::string>(From, "judged", ""),
                  .m_TriedBefore = fieldOr<double>(From, "tried_before_ms", 0),
                  .m_Expected = fieldOr<double>(From, "expected_ms", 0),
                  .m_First = fieldOr<double>(From, "first_ms", 0),
                  .m_Gap = fieldOr<double>(From, "gap_ms", 0),
                  .m_Whole = fieldOr<double>(From, "whole_ms", 0),
                  .m_Target = field<double>(From, "target_ms"),
                  .m_GapTarget = fieldOr<double>(From, "gap_target_ms", 0),
                  .m_Sends = fieldOr<int>(From, "sends", 0)};
  } catch (const DecodeError &) {
    // Something else wrote this line, or another version.
    return std::nullopt;
  }
}

double creditOf(const TryEnd &Try, const CreditWeights &Weights) {
  if (Try.inTime())
    return 1;
  if (Try.served())
    return Weights.m_Late;
  const double Held =
      Try.m_Target > 0 ? std::min(1.0, Try.m_Whole / Try.m_Target) : 1;
  // Time at an upstream that failed is not the box's waiting.
  const double Waiting = Try.m_Sends == 0 ? Weights.m_HeldForNothing * Held : 0;
  return -Waiting - (Try.m_TriedBefore > 0 ? Weights.m_SecondFailure : 0);
}

void LossSums::add(const TryEnd &Try, const CreditWeights &Weights) {
  const bool Second = Try.m_TriedBefore > 0;
  ++(Second ? m_SecondTries : m_FirstTries);
  m_Credit += creditOf(Try, Weights);
  if (Try.served() && Try.m_Expected > 0 && Try.m_First > 0) {
    ++m_Estimated;
    const double Ratio = Try.m_First / Try.m_Expected;
    if (Ratio <= CloseFactor && Ratio >= 1 / CloseFactor)
      ++m_Close;
  }
  if (Try.inTime()) {
    ++m_InTime;
    return;
  }
  ++m_Causes[causeOf(Try)];
  if (Try.served()) {
    ++m_Late;
    return;
  }
  m_HeldMs += Try.m_Whole;
  if (isRefusal(Try.m_Outcome))
    ++(Second ? m_RefusedSecond : m_RefusedFirst);
  else
    ++m_Failed;
}

std::size_t LossSums::callers() const {
  // A second try follows one that was not served; any beyond those is a
  // caller whose first try these logs do not tell of, or was misjudged.
  const std::size_t Unserved = m_FirstTries + m_SecondTries - m_InTime - m_Late;
  return m_FirstTries +
         (m_SecondTries > Unserved ? m_SecondTries - Unserved : 0);
}

double LossSums::lost() const {
  return static_cast<double>(callers()) - m_Credit;
}

double LossSums::creditPerCaller() const {
  return callers() == 0 ? 0 : m_Credit / static_cast<double>(callers());
}

LossGrouping parseLossGrouping(std::string_view Text) {
  if (Text == "route")
    return LossGrouping::Route;
  if (Text == "model")
    return LossGrouping::Model;
  if (Text == "organisation")
    return LossGrouping::Organisation;
  if (Text == "second")
    return LossGrouping::Second;
  throw CommandError(ExitCode::BadUsage,
                     "--by: '" + std::string(Text) +
                         "' is not route, model, organisation or "
                         "second");
}

LossFormat parseLossFormat(std::string_view Text) {
  if (Text == "table")
    return LossFormat::Table;
  if (Text == "json")
    return LossFormat::Json;
  throw CommandError(ExitCode::BadUsage, "--format: '" + std::string(Text) +
                                             "' is not table or json");
}

void addLosses(std::istream &Log, LossGrouping By, const CreditWeights &Weights,
               LossTable &To) {
  std::string Line;
  while (std::getline(Log, Line))
    if (const auto Try = tryEndFrom(Line))
      To[groupOf(*Try, By)].add(*Try, Weights);
}

namespace {

/// Those that lost the most first.
std::vector<const LossTable::value_type *> ranked(const LossTable &Losses) {
  std::vector<const LossTable::value_type *> Result;
  for (const auto &Each : Losses)
    Result.push_back(&Each);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const auto *A, const auto *B) {
                     return A->second.lost() > B->second.lost();
                   });
  return Result;
}

} // namespace

Json toJson(const LossTable &Losses) {
  Json Result = Json::array();
  for (const auto *Each : ranked(Losses)) {
    const auto &[Group, Sums] = *Each;
    Result.push_back({{"group", Group},
                      {"callers", Sums.callers()},
                      {"lost", Sums.lost()},
                      {"first_tries", Sums.m_FirstTries},
                      {"second_tries", Sums.m_SecondTries},
                      {"in_time", Sums.m_InTime},
                      {"late", Sums.m_Late},
                      {"refused_first", Sums.m_RefusedFirst},
                      {"refused_second", Sums.m_RefusedSecond},
                      {"failed", Sums.m_Failed},
                      {"held_unserved_ms", Sums.m_HeldMs},
                      {"estimated", Sums.m_Estimated},
                      {"estimates_close", Sums.m_Close},
                      {"credit_per_caller", Sums.creditPerCaller()},
                      {"causes", Sums.m_Causes}});
  }
  return Result;
}

std::string toText(const LossTable &Losses) {
  TextTable Table({"group", "callers", "lost", "in time", "late", "refused",
                   "refused again", "failed", "held s", "estimates close",
                   "credit", "causes"});
  for (const auto *Each : ranked(Losses)) {
    const LossSums &Sums = Each->second;
    const double Close = Sums.m_Estimated == 0
                             ? 0
                             : static_cast<double>(Sums.m_Close) /
                                   static_cast<double>(Sums.m_Estimated);
    Table.add({Each->first, std::to_string(Sums.callers()),
               fixed(Sums.lost(), 1), std::to_string(Sums.m_InTime),
               std::to_string(Sums.m_Late), std::to_string(Sums.m_RefusedFirst),
               std::to_string(Sums.m_RefusedSecond),
               std::to_string(Sums.m_Failed), fixed(Sums.m_HeldMs / 1000, 1),
               fixed(Close, 2), fixed(Sums.creditPerCaller(), 3),
               topCauses(Sums)});
  }
  return Table.str();
}

void printLosses(const std::vector<std::string> &Files, LossGrouping By,
                 const CreditWeights &Weights, LossFormat Format) {
  LossTable Losses;
  for (const std::string &Name : Files) {
    std::ifstream File(Name);
    if (!File)
      throw CommandError(ExitCode::BadUsage, "cannot read " + Name);
    addLosses(File, By, Weights, Losses);
  }
  if (Losses.empty())
    throw CommandError(ExitCode::Failed, "no line tells of a request's end");
  if (Format == LossFormat::Json)
    std::cout << dumpJson(toJson(Losses)) << "\n";
  else
    std::cout << toText(Losses);
}

} // namespace havenstair
