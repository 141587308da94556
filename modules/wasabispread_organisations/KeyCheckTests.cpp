/*
 * Tests of the directory of organisations and of the check of keys.
 */
#include "wasabispread_organisations.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace wasabispread;

namespace {

Organisation
Named(const std::string& aName)
{
  Organisation organisation;
  organisation.mName = aName;
  organisation.mId = IdFromName<OrganisationId>(aName);
  return organisation;
}

CallerKey
Present(const std::string& aText)
{
  return { KeyForm::kPresent, aText };
}

constexpr KnowledgeRule kStrict{ true, std::chrono::seconds(5) };
constexpr KnowledgeRule kLenient{ false, std::chrono::seconds(5) };
constexpr Duration kFresh = std::chrono::seconds(1);
constexpr Duration kOld = std::chrono::milliseconds(4300);

} // namespace

class KeyCheckTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyCheckTests);
  CPPUNIT_TEST(RejectsKeysOfTwoOrganisations);
  CPPUNIT_TEST(RejectsUnusableNames);
  CPPUNIT_TEST(FindsHolders);
  CPPUNIT_TEST(LeavesKeysWithoutAHolderUndecided);
  CPPUNIT_TEST(RejectsRequestsWithoutUsableKey);
  CPPUNIT_TEST(RefusesKeysWhenKnowledgeIsOld);
  CPPUNIT_TEST(ServesPublicRoutes);
  CPPUNIT_TEST(AsksOftenEnough);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against a request that is billed to, or limited as, another
      organisation than the one whose caller sent it. */
  void RejectsKeysOfTwoOrganisations()
  {
    OrganisationDirectory directory;
    CPPUNIT_ASSERT(directory.Add(Named("a"), { "key-1", "key-2" }));
    const auto added = directory.Add(Named("b"), { "key-3", "key-2" });
    CPPUNIT_ASSERT(!added);
    CPPUNIT_ASSERT(added.error().mKind == ErrorKind::kInvalidFile);
    CPPUNIT_ASSERT(added.error().mMessage.find("key-2") == std::string::npos);
  }

  void RejectsUnusableNames()
  {
    OrganisationDirectory directory;
    CPPUNIT_ASSERT(directory.Add(Named("a"), {}));
    CPPUNIT_ASSERT(!directory.Add(Named("a"), {}));
    CPPUNIT_ASSERT(!directory.Add(Named(""), {}));
    CPPUNIT_ASSERT(!directory.Add(Named("b"), { "" }));
  }

  void FindsHolders()
  {
    OrganisationDirectory directory;
    CPPUNIT_ASSERT(directory.Add(Named("a"), { "key-1", "key-1" }));
    CPPUNIT_ASSERT(directory.Add(Named("b"), { "key-3" }));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), directory.FindByKey("key-3")->mName);
    CPPUNIT_ASSERT(directory.FindByKey("key-30") == nullptr);
    CPPUNIT_ASSERT(directory.Find(IdFromName<OrganisationId>("a")) != nullptr);
    CPPUNIT_ASSERT(directory.Find(IdFromName<OrganisationId>("c")) == nullptr);
    CPPUNIT_ASSERT(!directory.HasLimits());
  }

  /** Guards against a key that is rejected, or served as another
      organisation's, because an entry beside it is odd. */
  void LeavesKeysWithoutAHolderUndecided()
  {
    OrganisationDirectory directory;
    CPPUNIT_ASSERT(directory.Add(Named("a"), { "key-1", "key-2" }));
    CPPUNIT_ASSERT(!directory.Add(Named("b"), { "key-2", "key-3" }));
    CPPUNIT_ASSERT(!directory.Add(Named("c"), { "key-2" }));
    CPPUNIT_ASSERT(!directory.Add(Named(""), { "key-4" }));
    directory.PutAside({ "key-5" });
    const auto verdict = [&](const char* aKey, Duration aAge) {
      return CheckKey(directory, Present(aKey), false, aAge, kLenient).mVerdict;
    };
    for (const char* key : { "key-2", "key-4", "key-5" }) {
      CPPUNIT_ASSERT(verdict(key, kFresh) == KeyVerdict::kUndecided);
      CPPUNIT_ASSERT(verdict(key, kOld) == KeyVerdict::kKnowledgeTooOld);
      CPPUNIT_ASSERT(
        CheckKey(directory, Present(key), true, kFresh, kStrict).mVerdict ==
        KeyVerdict::kAllowed);
    }
    for (const char* key : { "key-1", "key-3" }) {
      CPPUNIT_ASSERT(verdict(key, kFresh) == KeyVerdict::kAllowed);
    }
    CPPUNIT_ASSERT(verdict("unknown", kFresh) == KeyVerdict::kUnauthorised);
    directory.AddUnreadKeys();
    CPPUNIT_ASSERT(verdict("unknown", kFresh) == KeyVerdict::kUndecided);
    CPPUNIT_ASSERT(verdict("key-1", kFresh) == KeyVerdict::kAllowed);
  }

  void RejectsRequestsWithoutUsableKey()
  {
    const OrganisationDirectory directory = OneOrganisation();
    for (const CallerKey& key : { CallerKey{},
                                  CallerKey{ KeyForm::kMalformed, {} },
                                  CallerKey{ KeyForm::kRepeated, {} },
                                  Present("unknown") }) {
      const KeyDecision decision =
        CheckKey(directory, key, false, kFresh, kStrict);
      CPPUNIT_ASSERT(decision.mVerdict == KeyVerdict::kUnauthorised);
      CPPUNIT_ASSERT(decision.mOrganisation == nullptr);
      CPPUNIT_ASSERT(std::string(decision.mReason).size() > 10);
    }
    const KeyDecision allowed =
      CheckKey(directory, Present("key"), false, kFresh, kStrict);
    CPPUNIT_ASSERT(allowed.mVerdict == KeyVerdict::kAllowed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), allowed.mOrganisation->mName);
  }

  /** Guards against a key that is served long after it was withdrawn, and
      against a new key that is rejected for good by a VM that is behind. */
  void RefusesKeysWhenKnowledgeIsOld()
  {
    const OrganisationDirectory directory = OneOrganisation();
    const auto verdict = [&](const char* aKey, const KnowledgeRule& aRule) {
      return CheckKey(directory, Present(aKey), false, kOld, aRule).mVerdict;
    };
    CPPUNIT_ASSERT(verdict("key", kStrict) == KeyVerdict::kKnowledgeTooOld);
    CPPUNIT_ASSERT(verdict("new", kStrict) == KeyVerdict::kKnowledgeTooOld);
    CPPUNIT_ASSERT(verdict("key", kLenient) == KeyVerdict::kAllowed);
    CPPUNIT_ASSERT(verdict("new", kLenient) == KeyVerdict::kKnowledgeTooOld);
    // A request without a key is wrong whatever is known.
    CPPUNIT_ASSERT(CheckKey(directory, {}, false, kOld, kStrict).mVerdict ==
                   KeyVerdict::kUnauthorised);
  }

  void ServesPublicRoutes()
  {
    const OrganisationDirectory directory = OneOrganisation();
    for (const Duration age : { kFresh, kOld }) {
      for (const CallerKey& key :
           { CallerKey{}, Present("unknown"), Present("key") }) {
        CPPUNIT_ASSERT(CheckKey(directory, key, true, age, kStrict).mVerdict ==
                       KeyVerdict::kAllowed);
      }
    }
    CPPUNIT_ASSERT(CheckKey(directory, Present("key"), true, kFresh, kStrict)
                     .mOrganisation != nullptr);
    CPPUNIT_ASSERT(
      CheckKey(directory, Present("key"), true, kOld, kStrict).mOrganisation ==
      nullptr);
  }

  /** The knowledge must stay usable while two questions in a row fail. */
  void AsksOftenEnough()
  {
    CPPUNIT_ASSERT(3 * RefreshAge(kStrict) < UsableAge(kStrict));
    CPPUNIT_ASSERT(UsableAge(kStrict) < kStrict.mMaxAge);
  }

private:
  static OrganisationDirectory OneOrganisation()
  {
    OrganisationDirectory directory;
    CPPUNIT_ASSERT(directory.Add(Named("a"), { "key" }));
    return directory;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyCheckTests);
