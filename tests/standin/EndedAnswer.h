/// \file
/// One answer of a stand-in that is cut and ended as an AnswerEnding says.
#ifndef HAVENSTAIR_TESTS_STANDIN_ENDEDANSWER_H
#define HAVENSTAIR_TESTS_STANDIN_ENDEDANSWER_H

#include "standin/AnswerEnding.h"
#include "standin/StandinRunner.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace havenstair {

/// Writes head, pieces and end. Destroying it stops what has not been written.
class EndedAnswer : public std::enable_shared_from_this<EndedAnswer> {
public:
  struct Options {
    /// Status line and fields but those of the framing, each with its CRLF.
    std::string m_Head;
    /// Events, or one plain body. Those after m_CutIn are not sent.
    std::vector<std::string> m_Pieces;
    std::size_t m_CutIn = 0; ///< Which piece is cut; ignored without a cut.
    AnswerEnding m_Ending;
    Duration m_Wait = 0us; ///< From the head to the first piece.
    Duration m_Gap = 0us;  ///< Between pieces; without, they come as one.
  };
  using EndHook = std::function<void()>;

  /// The head of an answer to \p Of with the stand-in's signature.
  static std::string head(const StandinRunner::Request &Of,
                          const std::string &MoreFields = "");
  /// Events with the ids 1 to \p Count and the lines that \p At needs.
  static std::vector<std::string> events(int Count, AnswerCut At);

  /// Writes the head at once. \p OnEnd runs when all is written, before the
  /// connection ends.
  [[nodiscard]] static std::shared_ptr<EndedAnswer>
  send(EventLoop &Loop, StandinRunner::ConnectionPtr To, Options Opts,
       EndHook OnEnd = nullptr);

  /// All that is to be sent of the body, without its framing.
  std::string text() const;
  /// Whether nothing more will be written and the connection has its end.
  bool over() const { return m_Over; }

private:
  EndedAnswer(EventLoop &Loop, StandinRunner::ConnectionPtr To, Options Opts,
              EndHook OnEnd);
  void writeNext();
  void end();
  void later(Duration Delay, void (EndedAnswer::*Step)());
  void endConnection();

  EventLoop &m_Loop;
  StandinRunner::ConnectionPtr m_To;
  Options m_Opts;
  EndHook m_OnEnd;
  std::size_t m_Next = 0;
  Timer m_Timer;
  bool m_Over = false;
};

} // namespace havenstair

#endif
