/// \file
/// The way from a chosen box to the work: run here, or forward to a peer.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_ATTEMPTRUNNER_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_ATTEMPTRUNNER_H

#include "decisions/request/ForwardedRequest.h"
#include <memory>

namespace havenstair {

using AnswerSinkPtr = std::shared_ptr<AnswerSink>;

/// Runs attempts at the box that is responsible. Interface for tests.
class AttemptRunner {
public:
  virtual ~AttemptRunner() = default;
  /// Hands \p Request to \p To. The sink hears of it later, never from within
  /// this call. \returns false, and runs nothing, when \p To is out of reach.
  virtual bool run(const BoxName &To, const ForwardedRequest &Request,
                   AnswerSinkPtr Sink) = 0;
  /// Gives the attempt up; its sink hears nothing more.
  virtual void cancel(AttemptId Attempt) = 0;
};

} // namespace havenstair

#endif
