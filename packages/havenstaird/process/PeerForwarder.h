/// \file
/// Attempts that this box forwards to others, and those forwarded to it.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_PEERFORWARDER_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_PEERFORWARDER_H

#include "havenstaird/request/AttemptRunner.h"
#include "wire/common/EventLoop.h"
#include "wire/process/PeerMesh.h"
#include <functional>
#include <map>
#include <utility>

namespace havenstair {

/// Runs an attempt on this box. \returns a hook that cancels it.
using LocalRun = std::function<std::function<void()>(
    const BoxName &Origin, const ForwardedRequest &, AnswerSinkPtr)>;
/// Sends a frame to a box; false when nothing was sent.
using FrameSender = std::function<bool(const BoxName &, const PeerFrame &)>;

/// Forwards attempts to other boxes, and runs those that other boxes forward.
class PeerForwarder : public AttemptRunner {
public:
  PeerForwarder(EventLoop &Loop, BoxName Self, FrameSender Send,
                LocalRun Local);

  bool run(const BoxName &To, const ForwardedRequest &Request,
           AnswerSinkPtr Sink) override;
  void cancel(AttemptId Attempt) override;

  /// Handles a frame of \p From that belongs to an attempt. \returns false for
  /// frames of other kinds.
  bool onFrame(const BoxName &From, const PeerFrame &Frame);
  /// The link to \p Box is gone: its attempts here are cancelled, and those
  /// there have failed.
  void peerDown(const BoxName &Box);
  /// Number of attempts that run here for other boxes.
  std::size_t serving() const { return m_Incoming.size(); }

private:
  class ReturnSink;
  struct Outgoing {
    BoxName m_To;
    bool m_Unsafe = false;
    bool m_HasBytes = false;
    AnswerSinkPtr m_Sink;
    std::function<void()> m_CancelLocal;
  };
  using IncomingKey = std::pair<BoxName, AttemptId>;

  void runLocal(const ForwardedRequest &Request, const AnswerSinkPtr &Sink);
  void onForward(const BoxName &From, const ForwardedRequest &Request);
  AnswerSinkPtr sinkOf(const BoxName &From, AttemptId Attempt);
  AnswerSinkPtr takeSink(const BoxName &From, AttemptId Attempt);
  static Failure failureWhenLost(const Outgoing &Lost);

  EventLoop &m_Loop;
  BoxName m_Self;
  FrameSender m_Send;
  LocalRun m_Local;
  std::map<AttemptId, Outgoing> m_Outgoing;
  std::map<IncomingKey, std::function<void()>> m_Incoming;
};

} // namespace havenstair

#endif
