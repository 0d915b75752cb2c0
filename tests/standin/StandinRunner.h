/// \file
/// Stand-in for a runner of the users' platform, down to its bytes.
#ifndef HAVENSTAIR_TESTS_STANDIN_STANDINRUNNER_H
#define HAVENSTAIR_TESTS_STANDIN_STANDINRUNNER_H

#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace havenstair {

/// Reads requests by itself, so that what it writes may be any bytes: no
/// answer, two answers, half an answer, or a reset.
class StandinRunner {
public:
  struct Request {
    std::string m_Method;
    std::string m_Target;
    std::map<std::string, std::string> m_Headers; ///< Names in lower case.
    std::string m_Body;

    std::string header(const std::string &Name) const;
  };

  /// A caller's connection; outlives the request.
  class Connection : public std::enable_shared_from_this<Connection> {
  public:
    explicit Connection(bufferevent *Stream) : m_Stream(Stream) {}
    ~Connection();
    void write(const std::string &Bytes);
    /// Writes what is left and closes this direction; the other stays open
    /// until the caller closes it.
    void close();
    /// Writes what is left and closes both directions.
    void closeFully();
    /// Closes so that the other side sees a reset.
    void reset();
    /// Further requests on this connection are not looked at.
    void takeNoMore() { m_TakesMore = false; }
    bool open() const { return m_Stream != nullptr; }

  private:
    friend class StandinRunner;
    bufferevent *m_Stream;
    std::string m_Input;
    bool m_Closing = false;
    bool m_TakesMore = true;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Behaviour = std::function<void(const Request &, const ConnectionPtr &)>;

  StandinRunner(EventLoop &Loop, Behaviour OnRequest);
  ~StandinRunner();
  StandinRunner(const StandinRunner &) = delete;
  StandinRunner &operator=(const StandinRunner &) = delete;

  Endpoint endpoint() const { return m_Endpoint; }
  void setBehaviour(Behaviour OnRequest) { m_Behaviour = std::move(OnRequest); }
  /// New connections are refused from now on; open ones stay.
  void stopListening();
  /// Its process ends: open connections are reset, new ones refused.
  void crash();
  bool crashed() const { return m_Listener == nullptr; }
  const std::vector<Request> &requests() const { return m_Requests; }
  /// Requests that carry the attempt \p Id.
  std::size_t arrivals(const std::string &Id) const;
  /// Connections that their callers closed.
  std::size_t closedByCaller() const { return m_ClosedByCaller; }
  std::size_t accepted() const { return m_Accepted; }

  /// A whole answer to \p Of with the runner's signature.
  static std::string answer(const Request &Of, int Status,
                            const std::string &Body,
                            const std::string &MoreHeaders = "");
  /// The head of a stream in chunks, and its pieces.
  static std::string streamHead(const Request &Of);
  static std::string event(int Id);
  static std::string streamEnd() { return "0\r\n\r\n"; }

private:
  void accept(int Socket);
  void onReadable(Connection &From);
  void onEvent(Connection &Of, short What);

  EventLoop &m_Loop;
  Behaviour m_Behaviour;
  evconnlistener *m_Listener = nullptr;
  Endpoint m_Endpoint;
  std::map<bufferevent *, ConnectionPtr> m_Connections;
  std::vector<Request> m_Requests;
  std::size_t m_ClosedByCaller = 0;
  std::size_t m_Accepted = 0;
};

} // namespace havenstair

#endif
