/// \file
/// Interface that runs an attempt on a chosen box, this one or a peer.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_ATTEMPTRUNNER_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_ATTEMPTRUNNER_H

#include "decisions/request/ForwardedRequest.h"
#include <memory>

namespace havenstair {

using AnswerSinkPtr = std::shared_ptr<AnswerSink>;

/// Runs attempts on the box that is responsible for them. An interface, so that
/// tests can substitute a fake.
class AttemptRunner {
public:
  virtual ~AttemptRunner() = default;
  /// Runs \p Request on \p To. The sink is called later, never from within this
  /// call. \returns false, and runs nothing, when \p To cannot be reached.
  virtual bool run(const BoxName &To, const ForwardedRequest &Request,
                   AnswerSinkPtr Sink) = 0;
  /// Cancels the attempt; its sink is not called again.
  virtual void cancel(AttemptId Attempt) = 0;
};

} // namespace havenstair

#endif
