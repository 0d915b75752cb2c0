#include "standin/RawAnswer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

namespace havenstair {

namespace {

constexpr int Informational = 100;
constexpr int Success = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

std::optional<std::size_t> parseSize(const std::string &Text, int Base) {
  std::size_t Size = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Size, Base);
  return Parsed.ec == std::errc() && Parsed.ptr != Text.data()
             ? std::optional(Size)
             : std::nullopt;
}

} // namespace

std::string RawAnswer::header(const std::string &Name) const {
  const auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? "" : Found->second;
}

bool RawAnswer::framedAsWhole() const {
  return m_End == RawEnd::Framing ||
         (m_End == RawEnd::Fin && m_Framing == RawFraming::Neither);
}

void RawAnswer::feed(const std::string &Bytes) {
  if (over()) {
    m_Surplus += Bytes;
    return;
  }
  m_Input += Bytes;
  read();
}

void RawAnswer::ended(bool Reset) {
  if (!over())
    finish(Reset ? RawEnd::Reset : RawEnd::Fin);
}

void RawAnswer::finish(RawEnd How) {
  m_End = How;
  m_Surplus = std::move(m_Input);
  m_Input.clear();
}

void RawAnswer::read() {
  while (m_Framing == RawFraming::None)
    if (!readHead())
      return;
  if (m_Framing == RawFraming::Length)
    return readLength();
  if (m_Framing == RawFraming::Chunks)
    return readChunks();
  m_Body += m_Input;
  m_Input.clear();
}

bool RawAnswer::readHead() {
  const std::size_t End = m_Input.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  std::istringstream Head(m_Input.substr(0, End));
  m_Input.erase(0, End + 4);
  m_Headers.clear();
  std::string Line;
  std::getline(Head, Line);
  std::istringstream First(Line);
  std::string Version;
  First >> Version >> m_Status;
  while (std::getline(Head, Line)) {
    const std::size_t Colon = std::min(Line.find(':'), Line.size() - 1);
    std::string Value = Line.substr(Colon + 1);
    while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
      Value.pop_back();
    m_Headers[lower(Line.substr(0, Colon))] =
        Value.substr(std::min(Value.find_first_not_of(' '), Value.size()));
  }
  // An informational answer comes before the one that counts.
  if (m_Status < Informational || m_Status >= Success)
    chooseFraming();
  return true;
}

void RawAnswer::chooseFraming() {
  const auto Length = parseSize(header("content-length"), 10);
  if (m_Status == NoContent || m_Status == NotModified) {
    m_Framing = RawFraming::Length;
  } else if (lower(header("transfer-encoding")) == "chunked") {
    m_Framing = RawFraming::Chunks;
  } else if (Length) {
    m_Framing = RawFraming::Length;
    m_Length = *Length;
  } else {
    m_Framing = RawFraming::Neither;
  }
}

void RawAnswer::readLength() {
  const std::size_t Missing = m_Length - m_Body.size();
  m_Body += m_Input.substr(0, Missing);
  m_Input.erase(0, std::min(Missing, m_Input.size()));
  if (m_Body.size() == m_Length)
    finish(RawEnd::Framing);
}

std::optional<std::string> RawAnswer::takeLine() {
  const std::size_t End = m_Input.find("\r\n");
  if (End == std::string::npos)
    return std::nullopt;
  std::string Line = m_Input.substr(0, End);
  m_Input.erase(0, End + 2);
  return Line;
}

bool RawAnswer::readChunk() {
  constexpr int Hexadecimal = 16;
  const std::size_t LineEnd = m_Input.find("\r\n");
  if (LineEnd == std::string::npos)
    return false;
  const auto Size = parseSize(m_Input.substr(0, LineEnd), Hexadecimal);
  if (!Size) {
    // No chunk: as bad as a connection that was reset.
    finish(RawEnd::Reset);
    return false;
  }
  const std::size_t Start = LineEnd + 2;
  if (*Size == 0) {
    m_Input.erase(0, Start);
    m_LastChunk = true;
    return false;
  }
  if (m_Input.size() < Start + *Size + 2)
    return false;
  m_Body += m_Input.substr(Start, *Size);
  m_Input.erase(0, Start + *Size + 2);
  return true;
}

void RawAnswer::readChunks() {
  while (!m_LastChunk && readChunk())
    ;
  while (m_LastChunk && !over()) {
    const auto Line = takeLine();
    if (!Line)
      return;
    if (Line->empty())
      finish(RawEnd::Framing);
  }
}

} // namespace havenstair
