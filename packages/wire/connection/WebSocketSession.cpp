#include "wire/connection/WebSocketSession.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace havenstair {

namespace {

using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;
using ServerEndpoint = websocketpp::server<websocketpp::config::core>;

/// The sessions of the two sides differ only in the type of their endpoint.
template <typename EndpointType>
class SessionOf final : public WebSocketSession {
public:
  using Connection = typename EndpointType::connection_ptr;
  using Message = typename EndpointType::message_ptr;

  SessionOf(std::size_t MaxMessage, Hooks Callbacks)
      : m_Hooks(std::move(Callbacks)) {
    m_Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    m_Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    m_Endpoint.set_max_message_size(MaxMessage);
    m_Endpoint.set_max_http_body_size(0);
  }

  void attach(Connection Made) {
    m_Connection = std::move(Made);
    m_Connection->set_write_handler([this](const websocketpp::connection_hdl &,
                                           const char *Bytes,
                                           std::size_t Count) {
      m_Hooks.m_Write(Bytes, Count);
      return websocketpp::lib::error_code();
    });
    m_Connection->set_open_handler(
        [this](const websocketpp::connection_hdl &) { m_Hooks.m_Open(); });
    m_Connection->set_message_handler(
        [this](const websocketpp::connection_hdl &, const Message &Received) {
          m_Hooks.m_Message(Received->get_payload());
        });
    const auto Closed = [this](const websocketpp::connection_hdl &) {
      closed();
    };
    m_Connection->set_close_handler(Closed);
    m_Connection->set_fail_handler(Closed);
  }

  EndpointType &endpoint() { return m_Endpoint; }

  void setMaxMessage(std::size_t MaxMessage) override {
    m_Connection->set_max_message_size(MaxMessage);
  }

  void start() override {
    if constexpr (std::is_same_v<EndpointType, ClientEndpoint>)
      m_Endpoint.connect(m_Connection);
    else
      m_Connection->start();
  }

  void feed(const char *Bytes, std::size_t Count) override {
    m_Connection->read_all(Bytes, Count);
  }

  bool send(const std::string &Payload) override {
    if (m_Closed)
      return false;
    return !m_Connection->send(Payload, websocketpp::frame::opcode::binary);
  }

  void ping() override {
    // A ping that cannot be sent needs no handling: the session is not open, or
    // it is about to close.
    websocketpp::lib::error_code Ignored;
    m_Connection->ping("", Ignored);
  }

  void endOfInput() override {
    if (m_Closed)
      return;
    m_Connection->fatal_error();
    closed();
  }

private:
  void closed() {
    if (std::exchange(m_Closed, true))
      return;
    m_Hooks.m_Closed();
  }

  EndpointType m_Endpoint;
  Hooks m_Hooks;
  Connection m_Connection;
  bool m_Closed = false;
};

} // namespace

std::unique_ptr<WebSocketSession> WebSocketSession::dial(const std::string &Uri,
                                                         std::size_t MaxMessage,
                                                         Hooks Callbacks) {
  auto Session = std::make_unique<SessionOf<ClientEndpoint>>(
      MaxMessage, std::move(Callbacks));
  websocketpp::lib::error_code Error;
  auto Made = Session->endpoint().get_connection(Uri, Error);
  if (Error)
    throw std::runtime_error("invalid URI of a peer: " + Uri);
  Session->attach(std::move(Made));
  return Session;
}

std::unique_ptr<WebSocketSession>
WebSocketSession::accept(std::size_t MaxMessage, Hooks Callbacks) {
  auto Session = std::make_unique<SessionOf<ServerEndpoint>>(
      MaxMessage, std::move(Callbacks));
  Session->attach(Session->endpoint().get_connection());
  return Session;
}

} // namespace havenstair
