/// \file
/// What happens after each end of a send to an upstream: send elsewhere, take a
/// stream up again, or answer. See docs/design/forwarding.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_FORWARDINGPOLICY_H
#define HAVENSTAIR_DECISIONS_REQUEST_FORWARDINGPOLICY_H

#include "decisions/request/ErrorKind.h"
#include <string_view>

namespace havenstair {

/// How one send ended.
enum class SendOutcome {
  NotSent,     ///< No connection came up; nothing has reached the upstream.
  Rejected,    ///< The upstream says that it did not run the request.
  Answered,    ///< A whole answer that goes to the caller as it is.
  ServerError, ///< A whole answer that says that the run failed.
  Broken       ///< The answer is missing, cut, or not this request's.
};

std::string_view outcomeName(SendOutcome Outcome);

/// What is known of a request when a send has ended.
struct ForwardingFacts {
  bool m_Idempotent = false;  ///< May run more than once.
  bool m_Resumable = false;   ///< A stream that may go on elsewhere.
  bool m_BytesPassed = false; ///< The caller has a part of the answer.
  bool m_MayHaveRun = false;  ///< By this send or an earlier one.
  int m_Sends = 0;            ///< That may have reached an upstream.
  int m_MaxSends = 1;
  bool m_TimeLeft = true;

  bool operator==(const ForwardingFacts &) const = default;
};

enum class ForwardingStep {
  SendAgain, ///< The same request, to another upstream.
  Resume,    ///< From the next event on, to another upstream.
  PassOn,    ///< The upstream's answer as it is.
  Refuse,    ///< Not run: the caller may come back.
  Fail,      ///< The request may have run.
  Cut        ///< End the answer so that it cannot pass for a whole one.
};

std::string_view stepName(ForwardingStep Step);

/// Whether \p Step needs a repeat of the shared budget when the last send had
/// \p Outcome. A send that never arrived costs nothing.
bool needsRetryBudget(ForwardingStep Step, SendOutcome Outcome);

/// The step after \p Outcome. \p BudgetLeft: a repeat may be spent.
ForwardingStep nextStep(SendOutcome Outcome, const ForwardingFacts &Facts,
                        bool BudgetLeft);

/// Whether \p Status, given by an upstream that does not say that it did not
/// run the request, would be read by the caller as a promise that it did not.
bool impliesNotRun(int Status);

} // namespace havenstair

#endif
