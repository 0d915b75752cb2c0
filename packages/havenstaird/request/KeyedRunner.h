/// \file
/// Requests with an idempotency key, at the box that owns the key's slice.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYEDRUNNER_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_KEYEDRUNNER_H

#include "decisions/process/IdempotencyRegistry.h"
#include "decisions/version/Assignment.h"
#include "havenstaird/request/AttemptRunner.h"
#include <functional>
#include <memory>

namespace havenstair {

class Dispatcher;

/// Runs each key at most once and keeps its answer. A caller that leaves does
/// not stop the work: the answer is kept for its resubmission.
class KeyedRunner {
public:
  struct Options {
    BoxName m_Self;
    IdempotencyRegistry::Options m_Registry;
    /// Whether this box may still act as owner of key slices.
    std::function<bool()> m_MayOwn;
  };

  KeyedRunner(Dispatcher &Via, Options Opts);

  /// Takes slices over and gives them up.
  void follow(const Assignment &Current);
  void run(const ForwardedRequest &Request, const AnswerSinkPtr &Sink);
  void tick();
  /// Requests with a key that run now.
  std::size_t running() const { return m_Running; }

private:
  class KeepingSink;

  Dispatcher &m_Dispatcher;
  Options m_Opts;
  IdempotencyRegistry m_Registry;
  std::size_t m_Running = 0;
};

} // namespace havenstair

#endif
