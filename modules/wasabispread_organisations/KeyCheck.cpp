/*
 * Checks keys.
 */
#include "wasabispread_organisations.h"

namespace wasabispread {

Duration
UsableAge(const KnowledgeRule& aRule)
{
  constexpr int kPercent = 85;
  return aRule.mMaxAge * kPercent / 100;
}

Duration
RefreshAge(const KnowledgeRule& aRule)
{
  constexpr int kQuestionsPerBound = 4;
  return aRule.mMaxAge / kQuestionsPerBound;
}

KeyDecision
CheckKey(const OrganisationDirectory& aOrganisations,
         const CallerKey& aKey,
         bool aIsPublicRoute,
         Duration aAge,
         const KnowledgeRule& aRule)
{
  const bool isUsable = aAge < UsableAge(aRule);
  const Organisation* holder = aKey.mForm == KeyForm::kPresent
                                 ? aOrganisations.FindByKey(aKey.mText)
                                 : nullptr;
  if (aIsPublicRoute) {
    const bool counts = isUsable || !aRule.mIsStrict;
    return { KeyVerdict::kAllowed, counts ? holder : nullptr, "" };
  }
  switch (aKey.mForm) {
    case KeyForm::kAbsent:
      return { KeyVerdict::kUnauthorised, nullptr, "the request has no key" };
    case KeyForm::kMalformed:
      return { KeyVerdict::kUnauthorised, nullptr, "the key is malformed" };
    case KeyForm::kRepeated:
      return { KeyVerdict::kUnauthorised,
               nullptr,
               "the request has more than one key" };
    case KeyForm::kPresent:
      break;
  }
  if (!isUsable && (aRule.mIsStrict || holder == nullptr)) {
    // A key that is not known may have been added, a known one withdrawn.
    return { KeyVerdict::kKnowledgeTooOld,
             nullptr,
             "this VM's knowledge of keys is too old" };
  }
  if (holder == nullptr) {
    return { KeyVerdict::kUnauthorised,
             nullptr,
             "no organisation has this key" };
  }
  return { KeyVerdict::kAllowed, holder, "" };
}

const char*
ToText(KeyVerdict aVerdict)
{
  switch (aVerdict) {
    case KeyVerdict::kAllowed:
      return "allowed";
    case KeyVerdict::kUnauthorised:
      return "unauthorised";
    case KeyVerdict::kKnowledgeTooOld:
      break;
  }
  return "knowledge-too-old";
}

} // namespace wasabispread
