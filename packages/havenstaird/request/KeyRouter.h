/// \file
/// Brings a request with an idempotency key to the owner of the key's slice.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYROUTER_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYROUTER_H

#include "havenstaird/request/AttemptRunner.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <memory>
#include <optional>

namespace havenstair {

/// Forwards to one owner at a time. While the ownership moves it asks again a
/// few times; it never goes to two boxes with one attempt's outcome unknown.
class KeyRouter {
public:
  struct Options {
    std::function<std::optional<BoxName>(const ForwardedRequest &)> m_OwnerOf;
    std::function<AttemptId()> m_NextAttempt;
    int m_MaxAttempts = 4;
    Duration m_RetryEvery = 100ms;
    /// Added to the budget before an owner that is silent counts as lost.
    Duration m_Grace = 1s;
  };

  KeyRouter(EventLoop &Loop, AttemptRunner &Runner, Options Opts);

  /// \returns a hook that forgets the caller; the work itself goes on.
  std::function<void()> run(ForwardedRequest Request, AnswerSinkPtr Sink);

private:
  class Work;

  EventLoop &m_Loop;
  AttemptRunner &m_Runner;
  Options m_Opts;
};

} // namespace havenstair

#endif
