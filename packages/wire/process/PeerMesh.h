/// \file
/// The links of one box to all others.
#ifndef HAVENSTAIR_WIRE_PROCESS_PEERMESH_H
#define HAVENSTAIR_WIRE_PROCESS_PEERMESH_H

#include "decisions/process/Backoff.h"
#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include "wire/common/PortListener.h"
#include "wire/connection/PeerLink.h"
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

struct evconnlistener;

namespace havenstair {

/// Another box, and the address at which it listens for peers.
struct PeerAddress {
  BoxName m_Box;
  DataCentreName m_DataCentre;
  Endpoint m_Endpoint;
  /// This box must connect, as the other one does not.
  bool m_Dial = false;

  auto operator<=>(const PeerAddress &) const = default;
};

/// Keeps a link to each known box. Within a data centre the box with the lower
/// name connects; between data centres, any box that learns of the other. When
/// both connect, the link that the box with the lower name opened stays.
class PeerMesh {
public:
  struct Options {
    Endpoint m_Listen;
    PeerLink::Options m_Link;
    Duration m_RedialFirst = 100ms;
    Duration m_RedialCap = 2s;
    /// Accepted links without valid proofs; with more, the oldest is closed.
    std::size_t m_MaxUnproven = 512;
    RandomUnit m_Random;
  };
  struct Hooks {
    std::function<void(const BoxName &, const DataCentreName &)> m_Up;
    std::function<void(const BoxName &, PeerFrame)> m_Frame;
    /// A frame of a kind that this build does not know was ignored; may be
    /// empty.
    std::function<void()> m_Skipped;
    std::function<void(const BoxName &)> m_Down;
    /// Told how it stands with the address; may be empty.
    PortListener::Reporter m_Listening;
  };

  /// Listens as soon as the address is free, and connects to others meanwhile.
  /// \throws std::runtime_error when the address can never be bound.
  PeerMesh(EventLoop &Loop, Options Opts, Hooks Callbacks);
  ~PeerMesh();

  /// The address, with the real port once it is bound.
  Endpoint endpoint() const { return m_Port.endpoint(); }
  /// Whether others can connect to this box.
  bool listening() const { return m_Port.listening(); }
  /// Adds or updates addresses. Known boxes that are not in \p Peers stay
  /// known.
  void learn(const std::vector<PeerAddress> &Peers);
  /// Connects to \p Seeds, addresses of boxes whose names are unknown, as each
  /// start of a box has a name of its own. An address is not tried while there
  /// is a link to a known box at it.
  void learnSeeds(const std::vector<Endpoint> &Seeds);
  /// Forgets a box that the platform no longer lists.
  void forget(const BoxName &Box);

  /// Closes the link to \p Box, which no longer responds.
  void drop(const BoxName &Box);

  /// Sends \p Frame. \returns the size of the message in bytes; 0 when nothing
  /// was sent; see PeerLink::send().
  std::size_t send(const BoxName &To, const EncodedFrame &Frame);
  std::size_t send(const BoxName &To, const PeerFrame &Frame) {
    return find(To) == nullptr ? 0 : send(To, EncodedFrame(Frame));
  }
  /// Bytes that wait to be sent to \p To; 0 when there is no link.
  std::size_t queued(const BoxName &To) const;
  /// Whether there is a link to \p Box.
  bool reachable(const BoxName &Box) const;
  /// The protocol of \p Box; FirstProtocol when there is no link to it.
  PeerProtocol protocolOf(const BoxName &Box) const;
  /// Boxes of \p DataCentre with a link, sorted.
  std::vector<BoxName> reachable(const DataCentreName &DataCentre) const;
  /// The data centre that \p Box reports; empty when there is no link.
  DataCentreName dataCentreOf(const BoxName &Box) const;

private:
  struct Known {
    PeerAddress m_Address;
    bool m_Seed = false;
    Backoff m_Backoff;
    Timer m_Redial;
    bool m_Dialling = false;
  };

  void onListening(evconnlistener *Listener);
  void learnOne(const PeerAddress &Peer, bool Seed);
  void accept(int Socket);
  void dial(const BoxName &Box);
  void adopt(bufferevent *Stream, bool Dialled, const BoxName &Dialing);
  void boundUnproven();
  void linkUp(PeerLink &Link);
  void linkDown(PeerLink &Link);
  void redialLater(Known &Peer);
  PeerLink *find(const BoxName &Box) const;
  bool reached(const Known &Peer) const;
  bool dialsTo(const Known &Peer) const;
  bool preferred(const PeerLink &Link) const;
  void look();

  EventLoop &m_Loop;
  Options m_Opts;
  Hooks m_Hooks;
  evconnlistener *m_Listener = nullptr; ///< Null before it listens.
  PortListener m_Port;
  std::map<BoxName, Known> m_Known;
  std::map<PeerLink *, std::unique_ptr<PeerLink>> m_Links;
  std::map<PeerLink *, BoxName> m_DialledFor;
  std::list<PeerLink *> m_Unproven; ///< Accepted links, the oldest first.
  std::map<BoxName, PeerLink *> m_UpLinks;
  Timer m_LookTimer;
};

} // namespace havenstair

#endif
