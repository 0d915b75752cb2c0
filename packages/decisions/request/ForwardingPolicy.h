/// \file
/// What to do when a send to an upstream has ended: repeat it at another
/// upstream, resume a stream, or answer the caller. See
/// docs/design/forwarding.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_FORWARDINGPOLICY_H
#define HAVENSTAIR_DECISIONS_REQUEST_FORWARDINGPOLICY_H

#include "decisions/request/ErrorKind.h"
#include <string_view>

namespace havenstair {

/// The result of one send to an upstream.
enum class SendOutcome {
  NotSent,     ///< No connection was made; nothing reached the upstream.
  Rejected,    ///< The upstream states that it did not run the request.
  Answered,    ///< A complete answer, which the caller gets unchanged.
  ServerError, ///< A complete answer that reports a failed run.
  Broken       ///< The answer is missing, cut off, or of another request.
};

/// The name of \p Outcome in the log.
std::string_view outcomeName(SendOutcome Outcome);

/// The state of a request when a send has ended.
struct ForwardingFacts {
  bool m_Idempotent = false;  ///< The request may run more than once.
  bool m_Resumable = false;   ///< A stream that another upstream may resume.
  bool m_BytesPassed = false; ///< The caller has got a part of the answer.
  bool m_MayHaveRun = false;  ///< In this send or an earlier one.
  int m_Sends = 0;            ///< Sends that may have reached an upstream.
  int m_MaxSends = 1;         ///< Bound on m_Sends.
  bool m_TimeLeft = true;     ///< The deadline allows another send.

  bool operator==(const ForwardingFacts &) const = default;
};

/// The next step for a request.
enum class ForwardingStep {
  SendAgain, ///< Send the same request to another upstream.
  Resume,    ///< Resume the stream at another upstream, after the last event.
  PassOn,    ///< Pass the upstream's answer on unchanged.
  Refuse,    ///< Answer that the request was not run; the caller may retry.
  Fail,      ///< Answer that the request may have run.
  Cut        ///< Abort the answer, so that the caller sees it as incomplete.
};

/// The name of \p Step in the log.
std::string_view stepName(ForwardingStep Step);

/// Whether \p Step takes from the shared retry budget when the last send had
/// \p Outcome. A repeat of a send that reached no upstream is free.
bool needsRetryBudget(ForwardingStep Step, SendOutcome Outcome);

/// The step after a send with \p Outcome. \p BudgetLeft tells whether the retry
/// budget allows another send.
ForwardingStep nextStep(SendOutcome Outcome, const ForwardingFacts &Facts,
                        bool BudgetLeft);

/// Whether a caller would conclude from \p Status that its request was not run.
/// An upstream that may have run a request can still answer with it.
bool impliesNotRun(int Status);

} // namespace havenstair

#endif
