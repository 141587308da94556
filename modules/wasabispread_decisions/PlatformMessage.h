/*
 * What the platform's key-value store and VM list tell a node.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread {

/** An accepted change, as later ones remember it. */
struct ChangeRecord
{
  std::string mChangeId;
  Revision mRevision;
  std::string mAuthor;
  std::string mTime;
};

/** A configuration as the store holds it. */
struct ConfigurationRecord
{
  Revision mRevision;
  std::string mChangeId;
  std::string mAuthor;
  /** Wall-clock time of the change in ISO 8601; for display only. */
  std::string mTime;
  /** The deployment file's text. */
  std::string mText;
  /** The changes before this one, newest first; bounded. */
  std::vector<ChangeRecord> mEarlier;
};

/** A VM as the platform's list shows it. */
struct VmRecord
{
  VmId mId;
  std::string mName;
  ZoneName mZone;
  /** Where other VMs connect to it. */
  Endpoint mPeerAddress;
  bool mLeaving = false;
};

} // namespace wasabispread
