/// \file
/// One WebSocket connection without a socket: bytes in, bytes and messages
/// out. Kept apart because websocketpp 0.8 compiles as C++17 only, so this
/// header must be valid there.
#ifndef HAVENSTAIR_WIRE_CONNECTION_WEBSOCKETSESSION_H
#define HAVENSTAIR_WIRE_CONNECTION_WEBSOCKETSESSION_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace havenstair {

/// Frames and handshake by websocketpp, fed by whoever holds the socket.
class WebSocketSession {
public:
  struct Hooks {
    std::function<void(const char *Bytes, std::size_t Count)> m_Write;
    std::function<void()> m_Open;
    std::function<void(const std::string &Payload)> m_Message;
    /// Runs once when the connection is over, for whatever reason.
    std::function<void()> m_Closed;
  };

  /// Session of the side that dials; \p Uri is sent in its handshake.
  static std::unique_ptr<WebSocketSession>
  dial(const std::string &Uri, std::size_t MaxMessage, Hooks Callbacks);
  /// Session of the side that was dialled.
  static std::unique_ptr<WebSocketSession> accept(std::size_t MaxMessage,
                                                  Hooks Callbacks);

  virtual ~WebSocketSession() = default;
  /// Starts the handshake; may write.
  virtual void start() = 0;
  /// Hands over bytes that were received.
  virtual void feed(const char *Bytes, std::size_t Count) = 0;
  /// Sends one binary message. \returns false when the session is not open.
  virtual bool send(const std::string &Payload) = 0;
  /// Asks the other side for a sign of life, which any build of it answers.
  virtual void ping() = 0;
  /// The socket is gone.
  virtual void endOfInput() = 0;
};

} // namespace havenstair

#endif
