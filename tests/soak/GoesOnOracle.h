/// \file
/// Judges how many streams go on that callers take up after a loss of all
/// boxes.
#ifndef HAVENSTAIR_TESTS_SOAK_GOESONORACLE_H
#define HAVENSTAIR_TESTS_SOAK_GOESONORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

/// Compares the share of streams that go on, while two servers of the version
/// that began them serve, with the share of new streams that begin: of all that
/// are taken up from m_Contact after the return on, and of those that began
/// before the loss by themselves.
class GoesOnOracle {
public:
  /// Of how many tries or streams, how many brought an event.
  struct Count {
    int m_Of = 0;
    int m_Went = 0;

    void add(bool Went);
    double share() const;
    std::string str() const;
    bool operator==(const Count &) const = default;
  };
  /// What came after one loss.
  struct Report {
    TimePoint m_BackAt;
    Count m_New;      ///< New streams.
    Count m_TakenUp;  ///< Streams that were taken up.
    Count m_FromPast; ///< Those of them that began before the loss.
  };

  GoesOnOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
               VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  /// All boxes are lost at once.
  void lost(TimePoint At);
  /// The last one that is to come back runs again.
  void back(TimePoint At);
  /// \p Server of \p Service takes requests from now on, with \p Version; when
  /// it did before, it has started again.
  void serves(const std::string &Service, const std::string &Version,
              const std::string &Server, TimePoint At);
  /// It leaves, says so or ends.
  void leaves(const std::string &Server, TimePoint At);
  void tried(const StreamTry &Try);
  /// Nothing more comes.
  void finish(TimePoint At);

  std::vector<Report> reports() const;

private:
  struct Loss {
    TimePoint m_LostAt;
    TimePoint m_BackAt = TimePoint::max();
    TimePoint m_Until = TimePoint::max(); ///< The next loss, or the end.
  };
  struct Life {
    std::string m_Service;
    std::string m_Version;
    TimePoint m_From;
    TimePoint m_Until = TimePoint::max();
  };
  /// What a stream's tries brought after one loss.
  struct Outcome {
    bool m_FromPast = false;
    bool m_Counts = false; ///< It went on, or a try of it was to.
    bool m_WentOn = false;
  };

  bool served(const StreamTry &Of) const;
  /// Whether \p Of was sent to a box that was to serve it.
  bool inTouch(const StreamTry &Of, const Loss &After) const;
  Report report(const Loss &Of) const;
  void judge(const Report &Of, const Count &Streams,
             const std::string &Which) const;

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::vector<Loss> m_Losses;
  std::map<std::string, std::vector<Life>> m_Lives; ///< By server.
  std::vector<StreamTry> m_Tries;
};

} // namespace havenstair

#endif
