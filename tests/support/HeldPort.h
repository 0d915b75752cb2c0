/// \file
/// A port of the loopback interface that something else has.
#ifndef HAVENSTAIR_TESTS_SUPPORT_HELDPORT_H
#define HAVENSTAIR_TESTS_SUPPORT_HELDPORT_H

#include "wire/common/Endpoint.h"

namespace havenstair {

/// Holds a port until it is released. Nobody can listen there, and who connects
/// is refused, as where a connection to elsewhere has drawn the port.
class HeldPort {
public:
  /// Port 0 takes any free port. \throws std::runtime_error when \p At cannot
  /// be bound.
  explicit HeldPort(const Endpoint &At = {"127.0.0.1", 0});
  ~HeldPort() { release(); }
  HeldPort(const HeldPort &) = delete;
  HeldPort &operator=(const HeldPort &) = delete;

  void release();
  /// The address, with the real port.
  const Endpoint &endpoint() const { return m_Endpoint; }

private:
  int m_Socket;
  Endpoint m_Endpoint;
};

} // namespace havenstair

#endif
