/// \file
/// Listens on one address; where it is taken, as soon as it is free.
#ifndef HAVENSTAIR_WIRE_COMMON_PORTLISTENER_H
#define HAVENSTAIR_WIRE_COMMON_PORTLISTENER_H

#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <string>

struct evconnlistener;

namespace havenstair {

/// Binds an address, and tries again while something else has it: the process
/// before this one may still be ending, and a connection to elsewhere may have
/// drawn the port.
class PortListener {
public:
  /// How it stands with the address.
  struct Report {
    Endpoint m_Address;
    int m_Tries = 0;        ///< So far.
    Duration m_Waited{};    ///< Since the first try.
    std::string m_Obstacle; ///< Why the last try failed; empty for success.

    bool listening() const { return m_Obstacle.empty(); }
  };
  using Reporter = std::function<void(const Report &)>;
  /// Takes over the listener, which has no callback yet.
  using Opened = std::function<void(evconnlistener *)>;

  /// \p OnReport, which may be empty, is called for the first failure, every
  /// few seconds while it lasts, and for the success. Both hooks may be called
  /// from here.
  /// \throws std::runtime_error when the address can never be bound.
  PortListener(EventLoop &Loop, Endpoint Address, Opened OnOpened,
               Reporter OnReport);

  bool listening() const { return m_Listening; }
  /// The address, with the real port once it is bound.
  const Endpoint &endpoint() const { return m_Endpoint; }
  /// Tries no more.
  void giveUp() { m_Retry = Timer(); }

private:
  /// \returns 0, or the number of the system's error.
  int tryOnce();
  void retry();
  void report(int Error);

  EventLoop &m_Loop;
  Endpoint m_Endpoint;
  Opened m_OnOpened;
  Reporter m_OnReport;
  TimePoint m_Began;
  TimePoint m_ReportedAt{};
  int m_Tries = 0;
  bool m_Listening = false;
  Timer m_Retry;
};

} // namespace havenstair

#endif
