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

/// WebSocket over a bufferevent. Both sides prove that they know the shared
/// secret before any other frame is accepted.
class PeerLink {
public:
  static constexpr Duration LookEvery = 500ms;
  /// Operators hold a box to their bounds again 3 s after its connections
  /// broke: a silent link is given up by then. Leaves 1.5 s for the answer to a
  /// ping.
  static constexpr int MostQuietLooks = 6;

  struct Options {
    BoxName m_Self;
    DataCentreName m_DataCentre;
    std::string m_Secret;
    PeerProtocol m_Protocol = OwnProtocol; ///< Told in the hello.
    std::size_t m_MaxMessage = 4 << 20;
    /// Bytes that may wait to be sent before the link counts as stuck.
    std::size_t m_MaxBuffered = 16 << 20;
  };
  struct Hooks {
    std::function<void(PeerLink &)> m_Up; ///< Both proofs are valid.
    std::function<void(PeerLink &, PeerFrame)> m_Frame;
    /// A frame of a kind that this build does not know was left out; optional.
    std::function<void()> m_Skipped;
    /// Runs once, from the loop; the link is of no use afterwards.
    std::function<void(PeerLink &)> m_Down;
  };

  /// Takes over \p Stream, which is connecting when \p Dialled.
  PeerLink(EventLoop &Loop, bufferevent *Stream, bool Dialled, Options Opts,
           Hooks Callbacks);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// \returns the bytes of the message; 0 when the link is not up or stuck, or
  /// the other box does not know that kind of frame, and nothing was sent.
  std::size_t send(const EncodedFrame &Frame);
  /// Bytes that wait to be sent.
  std::size_t queued() const;
  bool up() const { return m_Up && !m_Closed; }
  bool dialled() const { return m_Dialled; }
  const BoxName &peer() const { return m_Peer; }
  const DataCentreName &peerDataCentre() const { return m_PeerDataCentre; }
  PeerProtocol peerProtocol() const { return m_PeerProtocol; }
  /// Called every LookEvery: asks a quiet link for a sign of life, and closes
  /// one that gives none. A connection may fall silent without a reset, and
  /// both ends would take it for up as long as they live. Looks are counted and
  /// not time, so that a process that was paused does not give up links whose
  /// bytes are waiting to be read.
  void look();
  /// Closes the connection; m_Down runs in the next pass of the loop.
  void close();

private:
  void onReadable();
  void onEvent(short What);
  void onMessage(const std::string &Payload);
  void onHello(const HelloFrame &Hello);
  void onProof(const ProofFrame &Proof);
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
  int m_QuietLooks = 0; ///< In a row, without a byte in between.
  bool m_Closed = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
