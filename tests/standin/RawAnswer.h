/// \file
/// Reads an answer from the bytes of its connection, by itself: it shares no
/// code with the boxes' HTTP.
#ifndef HAVENSTAIR_TESTS_STANDIN_RAWANSWER_H
#define HAVENSTAIR_TESTS_STANDIN_RAWANSWER_H

#include <map>
#include <optional>
#include <string>

namespace havenstair {

/// What tells where the body ends.
enum class RawFraming { None, Length, Chunks, Neither };

/// What ended the answer.
enum class RawEnd { None, Framing, Fin, Reset };

class RawAnswer {
public:
  void feed(const std::string &Bytes);
  /// The connection has ended, by a reset or in order.
  void ended(bool Reset);

  /// Whether the body has its end.
  bool over() const { return m_End != RawEnd::None; }
  /// Whether framing, or an orderly end without one, says that all has come.
  bool framedAsWhole() const;
  RawFraming framing() const { return m_Framing; }
  RawEnd end() const { return m_End; }
  int status() const { return m_Status; }
  /// \p Name in lower case; empty when absent.
  std::string header(const std::string &Name) const;
  const std::string &body() const { return m_Body; }
  /// Bytes behind the answer's end.
  const std::string &surplus() const { return m_Surplus; }

private:
  void read();
  bool readHead();
  void chooseFraming();
  void readLength();
  void readChunks();
  /// One whole chunk. \returns whether there may be another.
  bool readChunk();
  std::optional<std::string> takeLine();
  void finish(RawEnd How);

  std::string m_Input;
  int m_Status = 0;
  std::map<std::string, std::string> m_Headers;
  RawFraming m_Framing = RawFraming::None;
  RawEnd m_End = RawEnd::None;
  std::size_t m_Length = 0;
  bool m_LastChunk = false; ///< Only the trailer is missing.
  std::string m_Body;
  std::string m_Surplus;
};

} // namespace havenstair

#endif
