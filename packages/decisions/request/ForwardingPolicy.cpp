#include "decisions/request/ForwardingPolicy.h"

#include <array>

namespace havenstair {

namespace {

constexpr std::array<std::string_view, 5> OutcomeNames{
    "not_sent", "rejected", "answered", "server_error", "broken"};
constexpr std::array<std::string_view, 6> StepNames{
    "send_again", "resume", "pass_on", "refuse", "fail", "cut"};

/// Whether \p Outcome allows another run of the request.
bool mayRepeat(SendOutcome Outcome, const ForwardingFacts &Facts) {
  const bool MayHaveRun =
      Outcome == SendOutcome::Broken || Outcome == SendOutcome::ServerError;
  return !MayHaveRun || Facts.m_Idempotent;
}

/// The step when no further send is made.
ForwardingStep giveUp(SendOutcome Outcome, const ForwardingFacts &Facts) {
  if (Outcome == SendOutcome::ServerError)
    return ForwardingStep::PassOn;
  return Facts.m_MayHaveRun ? ForwardingStep::Fail : ForwardingStep::Refuse;
}

} // namespace

std::string_view outcomeName(SendOutcome Outcome) {
  return OutcomeNames.at(static_cast<std::size_t>(Outcome));
}

std::string_view stepName(ForwardingStep Step) {
  return StepNames.at(static_cast<std::size_t>(Step));
}

bool needsRetryBudget(ForwardingStep Step, SendOutcome Outcome) {
  const bool Repeats =
      Step == ForwardingStep::SendAgain || Step == ForwardingStep::Resume;
  return Repeats && Outcome != SendOutcome::NotSent;
}

ForwardingStep nextStep(SendOutcome Outcome, const ForwardingFacts &Facts,
                        bool BudgetLeft) {
  if (Outcome == SendOutcome::Answered)
    return ForwardingStep::PassOn;
  const bool Affordable = Facts.m_TimeLeft &&
                          Facts.m_Sends < Facts.m_MaxSends &&
                          (BudgetLeft || Outcome == SendOutcome::NotSent);
  if (Facts.m_BytesPassed)
    return Facts.m_Resumable && Affordable ? ForwardingStep::Resume
                                           : ForwardingStep::Cut;
  if (Affordable && mayRepeat(Outcome, Facts))
    return ForwardingStep::SendAgain;
  return giveUp(Outcome, Facts);
}

bool impliesNotRun(int Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

} // namespace havenstair
