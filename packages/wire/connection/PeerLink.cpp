#include "wire/connection/PeerLink.h"

#include "wire/common/Crypto.h"
#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace havenstair {

namespace {

constexpr std::size_t NonceBytes = 16;
/// A hello has two names, a nonce and a number.
constexpr std::size_t MaxGreetingBytes = 4096;
/// Bytes that may wait to be sent before both proofs are valid, answers to
/// pings among them.
constexpr std::size_t MaxUnprovenBuffered = 65536;
/// A ping is sent after 1.5 s without a received byte. Relays send each other
/// their state four times a second, so only links that are otherwise unused get
/// pings.
constexpr int PingAfterLooks = 3;
/// Part of the signed text, so that a proof is not valid for another purpose.
constexpr std::string_view ProofLabel = "havenstair-peer-1";

} // namespace

PeerLink::PeerLink(EventLoop &Loop, bufferevent *Stream, bool Dialled,
                   Options Opts, Hooks Callbacks)
    : m_Loop(Loop), m_Stream(Stream), m_Dialled(Dialled),
      m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_Nonce(randomHex(NonceBytes)) {
  WebSocketSession::Hooks Session;
  Session.m_Write = [this](const char *Bytes, std::size_t Count) {
    write(Bytes, Count);
  };
  Session.m_Open = [this] {
    sendRaw(EncodedFrame(HelloFrame{.m_Box = m_Opts.m_Self,
                                    .m_DataCentre = m_Opts.m_DataCentre,
                                    .m_Nonce = m_Nonce,
                                    .m_Protocol = m_Opts.m_Protocol}));
  };
  Session.m_Message = [this](const std::string &Payload) {
    onMessage(Payload);
  };
  Session.m_Closed = [this] { close(); };
  m_Session = Dialled ? WebSocketSession::dial("ws://peer/havenstair",
                                               MaxGreetingBytes, Session)
                      : WebSocketSession::accept(MaxGreetingBytes, Session);
  bufferevent_setcb(
      m_Stream,
      [](bufferevent *, void *Arg) {
        static_cast<PeerLink *>(Arg)->onReadable();
      },
      nullptr,
      [](bufferevent *, short What, void *Arg) {
        static_cast<PeerLink *>(Arg)->onEvent(What);
      },
      this);
  bufferevent_enable(m_Stream, EV_READ | EV_WRITE);
  if (m_Dialled)
    return;
  sendWithoutDelay(bufferevent_getfd(m_Stream));
  m_Session->start();
}

PeerLink::~PeerLink() {
  *m_Alive = false;
  bufferevent_free(m_Stream);
}

void PeerLink::look() {
  ++m_QuietLooks;
  if (!m_Up)
    ++m_UnprovenLooks;
  if (m_QuietLooks >= MostQuietLooks || m_UnprovenLooks >= MostUnprovenLooks)
    return close();
  if (m_QuietLooks == PingAfterLooks && m_Up)
    m_Session->ping();
}

void PeerLink::onReadable() {
  m_QuietLooks = 0;
  evbuffer *Input = bufferevent_get_input(m_Stream);
  const std::shared_ptr<bool> Alive = m_Alive;
  while (*Alive && !m_Closed && evbuffer_get_length(Input) > 0) {
    const std::size_t Count = evbuffer_get_contiguous_space(Input);
    const std::string Bytes(reinterpret_cast<const char *>(evbuffer_pullup(
                                Input, static_cast<ev_ssize_t>(Count))),
                            Count);
    evbuffer_drain(Input, Count);
    m_Session->feed(Bytes.data(), Bytes.size());
  }
}

void PeerLink::onEvent(short What) {
  if ((What & BEV_EVENT_CONNECTED) != 0) {
    sendWithoutDelay(bufferevent_getfd(m_Stream));
    m_Session->start();
    return;
  }
  close();
}

void PeerLink::onMessage(const std::string &Payload) {
  if (m_Closed)
    return;
  try {
    PeerFrame Frame = m_Up ? decodeFrame(Payload) : decodeGreeting(Payload);
    if (const auto *Hello = std::get_if<HelloFrame>(&Frame))
      return onHello(*Hello);
    if (const auto *Proof = std::get_if<ProofFrame>(&Frame))
      return onProof(*Proof);
    m_Hooks.m_Frame(*this, std::move(Frame));
  } catch (const UnknownFrame &) {
    // A later build may send kinds that this one does not know. If that closed
    // the link, one new kind would take down all links between the two builds.
    if (!m_Up)
      return close();
    if (m_Hooks.m_Skipped)
      m_Hooks.m_Skipped();
  } catch (const DecodeError &) {
    close();
  }
}

std::string PeerLink::proofOf(const BoxName &Prover,
                              const std::string &Nonce) const {
  std::string Text(ProofLabel);
  for (const std::string &Part :
       {Prover.str(),
        std::string(m_Dialled == (Prover == m_Opts.m_Self) ? "dialler"
                                                           : "listener"),
        Nonce})
    Text += "\n" + Part;
  return hmacHex(m_Opts.m_Secret, Text);
}

void PeerLink::onHello(const HelloFrame &Hello) {
  const bool Own = Hello.m_Box == m_Opts.m_Self;
  if (!m_Peer.empty() || Own || Hello.m_Nonce.size() != NonceBytes * 2)
    return close();
  m_Peer = Hello.m_Box;
  m_PeerDataCentre = Hello.m_DataCentre;
  m_PeerProtocol = Hello.m_Protocol;
  sendRaw(EncodedFrame(ProofFrame{proofOf(m_Opts.m_Self, Hello.m_Nonce)}));
}

void PeerLink::onProof(const ProofFrame &Proof) {
  const bool Valid = !m_Peer.empty() && !m_Up &&
                     equalConstantTime(Proof.m_Hmac, proofOf(m_Peer, m_Nonce));
  if (!Valid)
    return close();
  m_Up = true;
  m_Session->setMaxMessage(m_Opts.m_MaxMessage);
  m_Hooks.m_Up(*this);
}

void PeerLink::write(const char *Bytes, std::size_t Count) {
  if (!m_Up && queued() > MaxUnprovenBuffered)
    return close();
  bufferevent_write(m_Stream, Bytes, Count);
}

std::size_t PeerLink::queued() const {
  return evbuffer_get_length(bufferevent_get_output(m_Stream));
}

std::size_t PeerLink::sendRaw(const EncodedFrame &Frame) {
  if (m_Closed)
    return 0;
  if (queued() > m_Opts.m_MaxBuffered) {
    close();
    return 0;
  }
  const std::string &Bytes = Frame.bytesFor(m_PeerProtocol);
  return m_Session->send(Bytes) ? Bytes.size() : 0;
}

std::size_t PeerLink::send(const EncodedFrame &Frame) {
  // Earlier builds close the link on a kind that they do not know.
  const bool Understood = Frame.since() <= m_PeerProtocol;
  return m_Up && Understood ? sendRaw(Frame) : 0;
}

void PeerLink::close() {
  if (std::exchange(m_Closed, true))
    return;
  bufferevent_disable(m_Stream, EV_READ | EV_WRITE);
  m_Loop.defer([this, Alive = m_Alive] {
    if (*Alive)
      m_Hooks.m_Down(*this);
  });
}

} // namespace havenstair
