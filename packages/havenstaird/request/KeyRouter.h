/// \file
/// Routes requests with an idempotency key to the owner of the key's slice.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYROUTER_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYROUTER_H

#include "havenstaird/request/AttemptRunner.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <memory>
#include <optional>

namespace havenstair {

/// Forwards a request to one owner at a time. While the ownership of the slice
/// moves it retries a few times; it does not try a second box while the outcome
/// of an attempt is unknown.
class KeyRouter {
public:
  struct Options {
    std::function<std::optional<BoxName>(const ForwardedRequest &)> m_OwnerOf;
    std::function<AttemptId()> m_NextAttempt;
    int m_MaxAttempts = 4;
    Duration m_RetryEvery = 100ms;
    /// Time after the budget at which an owner that has not responded counts as
    /// lost.
    Duration m_Grace = 1s;
  };

  KeyRouter(EventLoop &Loop, AttemptRunner &Runner, Options Opts);

  /// Runs \p Request. \returns a hook that drops the caller; the request itself
  /// continues.
  std::function<void()> run(ForwardedRequest Request, AnswerSinkPtr Sink);

private:
  class Work;

  EventLoop &m_Loop;
  AttemptRunner &m_Runner;
  Options m_Opts;
};

} // namespace havenstair

#endif
