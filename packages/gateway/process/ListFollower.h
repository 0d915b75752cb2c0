/// \file
/// Which box reads lists of the store, and which follow it. See
/// docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTFOLLOWER_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTFOLLOWER_H

#include "gateway/common/ConfigFreshness.h"
#include "gateway/process/ConfigAnswers.h"
#include "gateway/process/ConfigFollower.h"
#include "gateway/process/PrefixMirror.h"
#include "gateway/process/ServingState.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/EncodedFrame.h"
#include "wire/connection/FleetFrames.h"
#include <array>
#include <functional>
#include <map>
#include <string>

namespace havenstair {

class DecisionLog;
class Fleet;
class OrderGiver;
class UpstreamRegistry;

/// Keeps this box's copies of the store's lists as new as they must be: by the
/// word of the box that reads for all while that vouches for them, by reading
/// itself otherwise.
class ListFollower {
public:
  struct Options {
    /// Of the platform: how long a leaving upstream may get new work.
    Duration m_DrainTimeout = 2s;
    bool m_FirstStart = false; ///< The whole fleet starts now.
  };
  /// What it reads and changes.
  struct Parts {
    Fleet &m_Fleet;
    OrderGiver &m_Giver;
    ServingState &m_State;
    PrefixMirror &m_Config;
    PrefixMirror &m_Upstreams;
    const UpstreamRegistry &m_Registry; ///< Of m_Upstreams.
    PrefixMirror &m_Boxes;
    PrefixMirror &m_Evacuations;
    DecisionLog &m_Log;
  };
  struct Hooks {
    /// The next box on the way to the one that gives orders; may be empty.
    std::function<BoxName()> m_TowardsGiver;
    /// Others are about to read what this box has just learned.
    std::function<void()> m_TellNow;
    /// A leaf asks for the whole of its list of upstreams.
    std::function<void(const BoxName &)> m_TellLeaf;
    /// Connections to the store may be dead without saying so: the next call
    /// takes a new one.
    std::function<void()> m_DropConnections;
  };

  ListFollower(EventLoop &Loop, Parts Of, Options Opts, Hooks Callbacks);
  ListFollower(const ListFollower &) = delete;
  ListFollower &operator=(const ListFollower &) = delete;

  /// The topology may have changed.
  void arranged();
  /// Whom it follows is chosen anew.
  void choose();
  void forget(const BoxName &Box);

  /// Fills in what \p Frame tells of the lists; it counts as told then.
  void describe(FleetDigestFrame &Frame, TimePoint Now);
  /// Tells \p To the lists that requests are sent by.
  void tellWhole(const BoxName &To);
  /// What this box would ask another one for.
  FleetWantFrame want() const;
  /// Sends \p From what is newer here than \p Frame says.
  void answer(const BoxName &From, const FleetWantFrame &Frame);
  void adopt(const BoxName &From, const FleetKeysFrame &Frame);
  static FleetKeysFrame keysFrame(const PrefixMirror &Of,
                                  const PrefixMirror::Delta &News);
  /// What keysFrame() was given.
  static PrefixMirror::Delta newsIn(const FleetKeysFrame &Frame);

  /// How it comes by newer configurations.
  ConfigFollower &config() { return m_Config; }
  const ConfigFollower &config() const { return m_Config; }
  /// Which boxes wait for the configuration of this one.
  ConfigAnswers &configAnswers() { return m_ConfigAnswers; }
  /// Another box tells of a list.
  void noteNewer(const FleetDigestFrame &Frame, TimePoint Now);
  /// \p HeldUp: by how much longer than usual the word was under way.
  void heard(const BoxName &From, const FleetDigestFrame &Frame,
             Duration HeldUp, TimePoint Now);

  /// Whether the uplink of this box, a leaf, has to be followed, and its lists
  /// have been too old for long: another one may know better.
  bool uplinkFails(TimePoint Now) const;

  ConfigFreshness configVouch(TimePoint Now) const;
  /// As of when this box's configuration was the store's, or later; and its
  /// evacuations.
  TimePoint configAsOf() const;
  TimePoint evacuationsAsOf() const;
  /// Whether to watch the configuration closely, as where keys must not be
  /// trusted by an old one.
  void watchConfigClosely(bool Closely) { m_ConfigClosely = Closely; }
  /// Operators evacuate data centres: what they ask for travels with the list.
  void followEvacuations(bool Follow) { m_FollowEvacuations = Follow; }

private:
  Duration age(TimePoint Now) const;
  TimePoint listAsOf() const;
  TimePoint knownAsOf(const PrefixMirror &Mirror) const;
  Duration mostListAge() const;
  BoxName listSource(TimePoint Now) const;
  /// As of when \p Box vouches for this box's copy.
  TimePoint vouchedAsOf(const BoxName &Box) const;
  bool vouches(const BoxName &Box, TimePoint Now) const;
  Duration gather() const;
  bool listsBehind(const FleetWantFrame &Newest) const;
  const EncodedFrame &whole(const PrefixMirror &Of);
  void answerList(const BoxName &From);
  bool lacksWhole() const;
  bool followsUplink() const;
  void watchClosely();
  ConfigAnswers::Hooks answerHooks();
  bool startsSoon(TimePoint Now) const;
  bool leavesEvacuations(TimePoint Now, bool Relayed) const;
  void follow(PrefixMirror &Mirror, bool Relayed);
  std::array<PrefixMirror *, 4> all() const;
  PrefixMirror *mirrorOf(const std::string &Prefix) const;

  /// What a box whose lists this one could follow last said of them.
  struct ListWord {
    TimePoint m_AsOf{};      ///< They were the store's state then, or later.
    FleetWantFrame m_Newest; ///< What they hold.
    /// As of when this box's copy was the same as theirs before that.
    TimePoint m_AsOfBefore{};
  };

  Parts m_Of;
  Options m_Opts;
  Hooks m_Hooks;
  /// A whole copy, for those that ask for it.
  struct WholeCopy {
    StoreRevision m_At = 0;
    EncodedFrame m_Frame;
  };
  std::map<std::string, WholeCopy> m_WholeCopies; ///< By prefix.
  std::map<BoxName, ListWord> m_ListWords;
  TimePoint m_ListAsOf{}; ///< The latest that was known of this box's copy.
  BoxName m_ListSource;   ///< The box whose lists this one follows.
  TimePoint m_ToldAsOf =
      EventLoop::now(); ///< As of when this box last vouched for its lists.
  TimePoint m_StartedAt = EventLoop::now();
  TimePoint m_ListReadAt{}; ///< When it was read anew on another box's word.
  bool m_ConfigClosely = false;
  bool m_FollowEvacuations = false;
  ConfigFollower m_Config;
  ConfigAnswers m_ConfigAnswers;
  Timer m_SourceTimer;
};

} // namespace havenstair

#endif
