/// \file
/// One authenticated connection to another box.
#ifndef HAVENSTAIR_WIRE_CONNECTION_PEERLINK_H
#define HAVENSTAIR_WIRE_CONNECTION_PEERLINK_H

#include "wire/connection/EncodedFrame.h"
#include "wire/connection/PeerFrames.h"
#include "wire/connection/WebSocketSession.h"
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace havenstair {

class EventLoop;

/// A WebSocket connection over a bufferevent. Both sides prove that they know
/// the shared secret before any other frame is accepted.
class PeerLink {
public:
  /// Interval of the calls to look().
  static constexpr Duration LookEvery = 500ms;
  /// Calls of look() without a received byte after which the link is closed.
  /// Operators hold a box to their bounds again 3 s after its connections
  /// broke, so a silent link is closed by then. That leaves 1.5 s for the
  /// answer to a ping.
  static constexpr int MostQuietLooks = 6;
  /// Calls of look() after which a link without valid proofs is closed,
  /// whatever it receives.
  static constexpr int MostUnprovenLooks = 10;

  struct Options {
    BoxName m_Self;
    DataCentreName m_DataCentre;
    std::string m_Secret;
    /// Sent in the hello frame.
    PeerProtocol m_Protocol = OwnProtocol;
    std::size_t m_MaxMessage = 4 << 20; ///< In bytes.
    /// Bytes that may wait to be sent; a link with more is closed as stuck.
    std::size_t m_MaxBuffered = 16 << 20;
  };
  struct Hooks {
    std::function<void(PeerLink &)> m_Up; ///< Both proofs are valid.
    std::function<void(PeerLink &, PeerFrame)> m_Frame;
    /// A frame of a kind that this build does not know was ignored; may be
    /// empty.
    std::function<void()> m_Skipped;
    /// The link is closed and cannot be used again; runs once, from the loop.
    std::function<void(PeerLink &)> m_Down;
  };

  /// Takes over \p Stream, which is connecting when \p Dialled.
  PeerLink(EventLoop &Loop, bufferevent *Stream, bool Dialled, Options Opts,
           Hooks Callbacks);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Sends \p Frame. \returns the size of the message in bytes; 0 when nothing
  /// was sent, as the link is not up or stuck, or the other box does not know
  /// that kind of frame.
  std::size_t send(const EncodedFrame &Frame);
  /// Bytes that wait to be sent.
  std::size_t queued() const;
  bool up() const { return m_Up && !m_Closed; }
  bool dialled() const { return m_Dialled; }
  const BoxName &peer() const { return m_Peer; }
  const DataCentreName &peerDataCentre() const { return m_PeerDataCentre; }
  PeerProtocol peerProtocol() const { return m_PeerProtocol; }
  /// Checks whether the link is alive; to be called every LookEvery. Sends a
  /// ping on a link that has received nothing lately, and closes the link when
  /// no answer comes: a connection may fail without a reset, and would
  /// otherwise seem up to both ends forever. Calls are counted rather than
  /// time, so that a process that was paused does not close links whose bytes
  /// are waiting to be read.
  void look();
  /// Closes the connection; m_Down runs in the next pass of the loop.
  void close();

private:
  void onReadable();
  void onEvent(short What);
  void onMessage(const std::string &Payload);
  void onHello(const HelloFrame &Hello);
  void onProof(const ProofFrame &Proof);
  void write(const char *Bytes, std::size_t Count);
  std::size_t sendRaw(const EncodedFrame &Frame);
  std::string proofOf(const BoxName &Prover, const std::string &Nonce) const;

  EventLoop &m_Loop;
  bufferevent *m_Stream;
  bool m_Dialled;
  Options m_Opts;
  Hooks m_Hooks;
  std::unique_ptr<WebSocketSession> m_Session;
  std::string m_Nonce;
  BoxName m_Peer;
  DataCentreName m_PeerDataCentre;
  PeerProtocol m_PeerProtocol = FirstProtocol;
  bool m_Up = false;
  int m_UnprovenLooks = 0; ///< Calls of look() before both proofs were valid.
  /// Calls of look() since a byte was last received.
  int m_QuietLooks = 0;
  bool m_Closed = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
