/// \file
/// Runs requests with an idempotency key on the box that owns the key's slice.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYEDRUNNER_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYEDRUNNER_H

#include "decisions/process/IdempotencyRegistry.h"
#include "decisions/version/Assignment.h"
#include "havenstaird/request/AttemptRunner.h"
#include <functional>
#include <memory>

namespace havenstair {

class Dispatcher;

/// Runs the request of each key at most once and keeps its answer. A request
/// continues when its caller leaves, as the answer is kept for a resubmission.
class KeyedRunner {
public:
  struct Options {
    BoxName m_Self;
    IdempotencyRegistry::Options m_Registry;
    /// Returns whether this box may still act as the owner of slices.
    std::function<bool()> m_MayOwn;
  };

  KeyedRunner(Dispatcher &Via, Options Opts);

  /// Takes over and gives up slices as \p Current says.
  void follow(const Assignment &Current);
  void run(const ForwardedRequest &Request, const AnswerSinkPtr &Sink);
  void tick();
  /// Number of requests with a key that run now.
  std::size_t running() const { return m_Running; }

private:
  class StoringSink;

  Dispatcher &m_Dispatcher;
  Options m_Opts;
  IdempotencyRegistry m_Registry;
  std::size_t m_Running = 0;
};

} // namespace havenstair

#endif
