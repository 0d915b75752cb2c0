/// \file
/// Reads the requests of one caller's connection before evhttp does.
#ifndef HAVENSTAIR_WIRE_COMMON_INBOUNDCONNECTION_H
#define HAVENSTAIR_WIRE_COMMON_INBOUNDCONNECTION_H

#include "decisions/common/Time.h"
#include "decisions/process/MemoryBudget.h"
#include "wire/common/ChunkDecoder.h"
#include "wire/common/ConnectionTimer.h"
#include "wire/common/RequestHead.h"
#include "wire/common/SharedBytes.h"
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace havenstair {

/// Why a server turns a request away by itself.
enum class TurnedAway {
  BodyTooLarge,
  TooMany, ///< Too many requests are open.
  NoMemory ///< The budget has no room for the body.
};

/// Takes each request out of what evhttp would read, collects its body within
/// the budget, and gives evhttp the head alone. So a request can be refused
/// before its body has come; the rest of the body is then read and dropped, so
/// that the answer reaches its caller and the connection stays usable.
class InboundConnection {
public:
  struct Limits {
    std::size_t m_MaxHeaders = 16 << 10; ///< Bytes.
    std::size_t m_MaxBody = 1 << 20;     ///< Bytes.
    CallerTimeouts m_Timeouts;

    bool operator==(const Limits &) const = default;
  };
  /// \returns whether other requests gave up parts of the budget.
  using MakeRoom = std::function<bool(TimePoint Now)>;

  /// \p Stream is that of a connection that has just been accepted. The limits
  /// may change; limitsChanged() must be called then.
  InboundConnection(EventLoop &Loop, bufferevent *Stream, const Limits &Bounds,
                    const MemoryBudget &Memory, MakeRoom Reclaim,
                    ConnectionTimer::Expired OnExpired);
  ~InboundConnection();
  InboundConnection(const InboundConnection &) = delete;
  InboundConnection &operator=(const InboundConnection &) = delete;

  /// Applies limits that have changed.
  void limitsChanged();

  /// The connection of evhttp; null once that is closing.
  evhttp_connection *connection() const;
  /// \p Closed runs once when evhttp closes the connection while the present
  /// request is open.
  void onClosed(std::function<void(evhttp_connection *)> Closed) {
    m_Closed = std::move(Closed);
  }
  /// Must be called when evhttp closes \p Closing, which is this connection.
  void close(evhttp_connection *Closing);

  /// Must be called when evhttp has read a head. \returns the request's body.
  SharedBytes takeBody();
  /// \returns true the first time.
  bool takeFirst() { return std::exchange(m_Unused, false); }
  bool unambiguous() const { return m_Head.m_Unambiguous; }
  /// Why the request is refused; empty if it is not.
  const std::optional<TurnedAway> &refusal() const { return m_Refusal; }
  /// Whether more of a refused body comes. A close would then be a reset, which
  /// may keep the answer from its caller.
  bool skipping() const { return m_Skipping; }
  /// Must be called once the request's answer has been handed to evhttp, and
  /// before evhttp reads on.
  void onAnswered();

  /// Gives back what is reserved for a body that comes too slowly. \returns
  /// whether there was anything.
  bool releaseStalled(TimePoint Now);

private:
  enum class State {
    Head,  ///< A head is due, or the rest of it.
    Body,  ///< A body is due, or the rest of it.
    Given, ///< evhttp gets the head, and the request is not answered yet.
    Ended  ///< As Given, and what comes on the connection is dropped.
  };

  void detach();
  void boundInput();
  static void onInput(evbuffer *Input, const evbuffer_cb_info *Change,
                      void *Arg);
  evbuffer *input() const;
  void process();
  bool step();
  bool readHead();
  void beginBody(TimePoint Now);
  bool readBody();
  bool skipBody();
  /// Takes what has come of the body off the input.
  void takeInput(const ChunkDecoder::Sink &Pass);
  void append(std::string_view Bytes);
  bool reserve(std::size_t Bytes, TimePoint Now);
  void refuse(TurnedAway Why);
  void giveHead(State Next);
  bool bodyEnded() const;

  bufferevent *m_Stream;
  evbuffer_cb_entry *m_Watch = nullptr;
  const Limits &m_Limits;
  const MemoryBudget &m_Memory;
  MakeRoom m_MakeRoom;
  ConnectionTimer m_Timer;
  State m_State = State::Head;
  bool m_Unused = true; ///< It has brought no request.
  bool m_Processing = false;
  bool m_HeadWaits = false; ///< evhttp has not read the head that it was given.
  bool m_Skipping = false;  ///< The rest of a refused body is dropped.
  std::string m_Partial;    ///< What has come of a head that is not whole.
  RequestHead m_Head;
  std::size_t m_Left = 0; ///< Bytes of the body that have not come.
  ChunkDecoder m_Chunks;
  std::string m_Collected;
  MemoryCharge m_Held;
  TimePoint m_BodySince{};
  SharedBytes m_Body;
  std::function<void(evhttp_connection *)> m_Closed;
  std::optional<TurnedAway> m_Refusal;
};

} // namespace havenstair

#endif
