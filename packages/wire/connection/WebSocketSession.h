/// \file
/// The WebSocket protocol of one connection, without its socket. websocketpp
/// 0.8 compiles as C++17 only, so this header must be valid C++17.
#ifndef HAVENSTAIR_WIRE_CONNECTION_WEBSOCKETSESSION_H
#define HAVENSTAIR_WIRE_CONNECTION_WEBSOCKETSESSION_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace havenstair {

/// Does the handshake and the framing by websocketpp. The owner of the socket
/// passes in the received bytes and writes those of m_Write.
class WebSocketSession {
public:
  struct Hooks {
    /// Writes bytes to the socket.
    std::function<void(const char *Bytes, std::size_t Count)> m_Write;
    std::function<void()> m_Open; ///< The handshake is complete.
    std::function<void(const std::string &Payload)> m_Message;
    /// The connection has ended, for whatever reason; runs once.
    std::function<void()> m_Closed;
  };

  /// Creates the session of the side that connects. \p Uri is sent in its
  /// handshake; \p MaxMessage is in bytes. \throws std::runtime_error when \p
  /// Uri is invalid.
  static std::unique_ptr<WebSocketSession>
  dial(const std::string &Uri, std::size_t MaxMessage, Hooks Callbacks);
  /// Creates the session of the side that accepts the connection.
  static std::unique_ptr<WebSocketSession> accept(std::size_t MaxMessage,
                                                  Hooks Callbacks);

  virtual ~WebSocketSession() = default;
  /// Later messages may have \p MaxMessage bytes.
  virtual void setMaxMessage(std::size_t MaxMessage) = 0;
  /// Starts the handshake; may call m_Write.
  virtual void start() = 0;
  /// Processes received bytes.
  virtual void feed(const char *Bytes, std::size_t Count) = 0;
  /// Sends one binary message. \returns false when the session is not open.
  virtual bool send(const std::string &Payload) = 0;
  /// Sends a ping, which any build of the other side answers.
  virtual void ping() = 0;
  /// The socket was closed.
  virtual void endOfInput() = 0;
};

} // namespace havenstair

#endif
