#include "wire/common/RequestHead.h"

#include "wire/common/ContentLength.h"
#include "wire/common/HttpClient.h"
#include <algorithm>
#include <cctype>
#include <optional>

namespace havenstair {

namespace {

constexpr char Nul = '\0';

/// Whether \p Name is a token of RFC 9110, section 5.6.2.
bool isToken(std::string_view Name) {
  constexpr std::string_view Signs = "!#$%&'*+-.^_`|~";
  const auto Allowed = [&](char Sign) {
    return std::isalnum(static_cast<unsigned char>(Sign)) != 0 ||
           Signs.find(Sign) != std::string_view::npos;
  };
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), Allowed);
}

/// The methods whose bodies are read.
bool mayHaveBody(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t Start = Text.find_first_not_of(Blanks);
  if (Start == std::string_view::npos)
    return {};
  return Text.substr(Start, Text.find_last_not_of(Blanks) + 1 - Start);
}

/// Takes the first line, with its end, off \p Text.
std::string_view takeLine(std::string_view &Text) {
  const std::size_t End = Text.find('\n');
  const std::size_t Length =
      End == std::string_view::npos ? Text.size() : End + 1;
  const std::string_view Line = Text.substr(0, Length);
  Text.remove_prefix(Length);
  return Line;
}

std::string_view withoutEnd(std::string_view Line) {
  if (Line.ends_with('\n'))
    Line.remove_suffix(1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

/// Reads the fields of one head.
class HeadReader {
public:
  RequestHead read(std::string_view Text) {
    const std::string_view First = takeLine(Text);
    m_Head.m_Text = First;
    for (std::string_view Line = takeLine(Text); !withoutEnd(Line).empty();
         Line = takeLine(Text))
      readField(Line);
    const bool Allowed = mayHaveBody(First.substr(0, First.find(' ')));
    const bool Old = withoutEnd(First).ends_with("HTTP/1.0");
    // That version has no chunks, so its readers look for another end.
    if (m_Framings > 1 || (m_HasBody && !Allowed) || (Old && m_Head.m_Chunked))
      m_Head.m_Unambiguous = false;
    // A reader may take a line that begins with it for the empty one.
    replaceNul(m_Head.m_Text);
    replaceNul(m_Head.m_Connection);
    return std::move(m_Head);
  }

private:
  void replaceNul(std::string &Text) {
    if (Text.find(Nul) == std::string::npos)
      return;
    m_Head.m_Unambiguous = false;
    std::replace(Text.begin(), Text.end(), Nul, '?');
  }

  void readField(std::string_view Line) {
    const std::string_view Field = withoutEnd(Line);
    // A reader may take it for the end of a line.
    if (Field.find('\r') != std::string_view::npos)
      m_Head.m_Unambiguous = false;
    if (Field.starts_with(' ') || Field.starts_with('\t'))
      return continueField(Line);
    const std::size_t Colon = Field.find(':');
    const std::string_view Name = Field.substr(0, Colon);
    const std::string_view Value =
        Colon == std::string_view::npos ? "" : trimmed(Field.substr(Colon + 1));
    m_FramingLine = readFraming(Name, Value);
    if (m_FramingLine)
      return;
    const bool OfConnection = sameFieldName(Name, "Connection");
    m_Continued = OfConnection ? &m_Head.m_Connection : &m_Head.m_Text;
    if (Colon != std::string_view::npos && !isToken(Name))
      m_Head.m_Unambiguous = false;
    if (sameFieldName(Name, "Expect"))
      m_Head.m_AwaitsContinue = sameFieldName(Value, "100-continue");
    *m_Continued += Line;
  }

  /// A line that continues the value of the field before it.
  void continueField(std::string_view Line) {
    if (m_FramingLine)
      m_Head.m_Unambiguous = false;
    else
      *m_Continued += Line;
  }

  bool readFraming(std::string_view Name, std::string_view Value) {
    // Also a name with blanks around it, which another reader may accept.
    const std::string_view Bare = trimmed(Name);
    const bool IsLength = sameFieldName(Bare, ContentLengthField);
    const bool IsCoding = sameFieldName(Bare, "Transfer-Encoding");
    if (!IsLength && !IsCoding)
      return false;
    ++m_Framings;
    bool Readable = Name == Bare;
    if (IsLength) {
      const std::optional<std::size_t> Length = parseContentLength(Value);
      m_Head.m_Length = Length.value_or(0);
      Readable = Length && Readable;
      m_HasBody = m_HasBody || m_Head.m_Length > 0 || !Readable;
    } else {
      m_Head.m_Chunked = true;
      m_HasBody = true;
      Readable = sameFieldName(Value, "chunked") && Readable;
    }
    m_Head.m_Unambiguous = m_Head.m_Unambiguous && Readable;
    return true;
  }

  RequestHead m_Head;
  int m_Framings = 0;
  bool m_HasBody = false;
  bool m_FramingLine = false; ///< The last line was a framing field.
  std::string *m_Continued = &m_Head.m_Text; ///< Has the line before.
};

} // namespace

std::size_t findHeadEnd(std::string_view Bytes) {
  std::size_t Start = 0;
  while (true) {
    const std::size_t End = Bytes.find('\n', Start);
    if (End == std::string_view::npos)
      return 0;
    const std::string_view Line = Bytes.substr(Start, End - Start);
    if (Line.empty() || Line == "\r")
      return End + 1;
    Start = End + 1;
  }
}

RequestHead readRequestHead(std::string_view Text) {
  return HeadReader().read(Text);
}

} // namespace havenstair
