/// \file
/// One running call of HttpClient.
#ifndef HAVENSTAIR_WIRE_COMMON_HTTPCALLSTATE_H
#define HAVENSTAIR_WIRE_COMMON_HTTPCALLSTATE_H

#include "decisions/process/MemoryBudget.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/KeptConnections.h"
#include "wire/common/StatusLine.h"
#include <cstddef>
#include <event2/http.h>
#include <memory>

struct evbuffer;
struct evbuffer_cb_info;
struct evkeyvalq;

namespace havenstair {

/// A call from its start to its end, which evhttp carries out.
struct HttpCallHandle::State : std::enable_shared_from_this<State> {
  EventLoop *m_Loop = nullptr;
  std::weak_ptr<KeptConnections> m_Kept;
  HttpCall m_Call;
  evhttp_connection *m_Connection = nullptr;
  evhttp_request *m_Request = nullptr; ///< Null when evhttp has ended it.
  Timer m_ConnectTimer;
  Timer m_TotalTimer;
  std::size_t m_Received = 0; ///< Bytes of this answer, framing included.
  std::size_t m_Passed = 0;   ///< Bytes of its body that were passed on.
  int m_InterimAnswers = 0;
  bool m_NulInHead = false;
  /// Of the head that comes.
  StatusLineCheck m_StatusLine = StatusLineCheck::Unfinished;
  int m_Status = 0;
  HttpHeaders m_AnswerHeaders;
  bool m_Persistent = false; ///< The answer lets its connection be kept.
  AnswerFraming m_Framing = AnswerFraming::Length;
  bool m_Done = false;
  bool m_Failed = false;
  bool m_Written = false; ///< Bytes of the request may have left.
  /// Charged for the head, and for what evhttp has not passed on.
  MemoryCharge m_Held;
  std::size_t m_HeadInMemory = 0; ///< Part of it for the head.
  /// Lines that came until the head was whole.
  std::size_t m_HeadLines = 0;

  void giveUp();
  void closeLater();
  static void onOutput(evbuffer *, const evbuffer_cb_info *Change, void *Arg);
  static void onInput(evbuffer *Input, const evbuffer_cb_info *Change,
                      void *Arg);
  void passChunk(evbuffer *Input);
  bool hold(evbuffer *Input);
  void releaseRead(evbuffer *Input);
  void countLines(evbuffer *Input, std::size_t From);
  void noteNul(evbuffer *Input);
  void noteStatusLine(evbuffer *Input);
  bool exceedsFraming(std::size_t Waiting, std::size_t Now) const;
  void giveUpLater();
  void readOn();
  void noteReads();
  void stopNotingReads(evhttp_connection *Connection);
  void noteWrites();
  void stopNotingWrites(evhttp_connection *Connection);
  HttpEnd failure() const;
  void finish(HttpEnd End);
  bool mayKeep() const;
  void keep();
  void pass(evbuffer *Bytes);
  static int onHead(evhttp_request *Request, void *Arg);
  static void readUntilClose(evkeyvalq *Headers);
  static void onChunk(evhttp_request *Request, void *Arg);
  static void onError(evhttp_request_error, void *Arg);
  static void onDone(evhttp_request *Request, void *Arg);
  bool open();
  void limitWhole();
  void limitConnecting();
  bool send();
};

} // namespace havenstair

#endif
