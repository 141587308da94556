/*
 * Tells a hold-up of this VM's process from a slow processor. After a hold-up
 * everything that arrived in it is handled at once and late, which says nothing
 * of the targets, of other VMs, or of how long work takes here.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

namespace wasabispread::forwarding {

/** The last hold-up of the process. */
struct HoldUp
{
  /** When the process went on; long ago before the first hold-up. */
  TimePoint mEnd{};
};

/** Records a hold-up that ends at aNow if the earliest timer, due at aDue, is
    later than a small processor share explains. */
void
NoticeHoldUp(HoldUp& aHoldUp, TimePoint aDue, TimePoint aNow);

} // namespace wasabispread::forwarding
