/*
 * Tests which requests are refused and what is given up when memory is short.
 */
#include "wasabispread_decisions.h"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace wasabispread;

class MemoryAccountTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MemoryAccountTests);
  CPPUNIT_TEST(RefusesRequestsThatDoNotFit);
  CPPUNIT_TEST(AdmitsAGrowingRequestOnce);
  CPPUNIT_TEST(GivesUpStalledCallersBeforeItRefuses);
  CPPUNIT_TEST(GivesUpTricklingCallersBeforeItRefuses);
  CPPUNIT_TEST(GivesUpTheSlowestAnswerBeyondTheTotal);
  CPPUNIT_TEST(GivesUpTheLargestReply);
  CPPUNIT_TEST(ReadsOneReplyAtATimeWhenMemoryIsShort);
  CPPUNIT_TEST(ReadsNoReplyBeforeAnswersMakeRoom);
  CPPUNIT_TEST(KeepsItsLimitsForAnyUse);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::size_t kBlock = 10'000;
  static constexpr MemoryLimits kLimits{ 8 * kBlock,
                                         6 * kBlock,
                                         4 * kBlock,
                                         1 };

  void RefusesRequestsThatDoNotFit()
  {
    CPPUNIT_ASSERT(Admit(1, 4 * kBlock));
    CPPUNIT_ASSERT(Admit(2, 2 * kBlock));
    CPPUNIT_ASSERT(!Admit(3, kBlock));
    CPPUNIT_ASSERT(!Admit(4, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 },
                         mAccount.Losses().mRequestsRefused);
    mAccount.Release(Key(1));
    CPPUNIT_ASSERT(Admit(3, kBlock));
    CPPUNIT_ASSERT(mGivenUp.empty());
  }

  void AdmitsAGrowingRequestOnce()
  {
    CPPUNIT_ASSERT(Admit(1, 4 * kBlock));
    Set(2, MemoryUse::kRequest, 4 * kBlock);
    // It arrives as it was admitted, though there is no room for others.
    CPPUNIT_ASSERT(Admit(1, 4 * kBlock));
    CPPUNIT_ASSERT(!Admit(1, 5 * kBlock));
  }

  void GivesUpStalledCallersBeforeItRefuses()
  {
    Set(1, MemoryUse::kAnswer, 3 * kBlock);
    CPPUNIT_ASSERT(Admit(2, 3 * kBlock));
    CPPUNIT_ASSERT(!Admit(3, kBlock));
    mNow += std::chrono::seconds(2);
    mAccount.Move(Key(1), 10 * kBlock * kBlock, mNow);
    CPPUNIT_ASSERT(Admit(3, kBlock));
    CPPUNIT_ASSERT((mGivenUp == std::vector<int>{ 2 }));
  }

  void GivesUpTricklingCallersBeforeItRefuses()
  {
    Set(1, MemoryUse::kAnswer, 6 * kBlock);
    for (unsigned step = 0; step < 6; ++step) {
      CPPUNIT_ASSERT(mGivenUp.empty());
      mNow += std::chrono::milliseconds(500);
      mAccount.Move(Key(1), 100, mNow);
    }
    CPPUNIT_ASSERT(Admit(2, kBlock));
    CPPUNIT_ASSERT((mGivenUp == std::vector<int>{ 1 }));
  }

  void GivesUpTheSlowestAnswerBeyondTheTotal()
  {
    Set(1, MemoryUse::kAnswer, 3 * kBlock);
    Set(2, MemoryUse::kRequest, kBlock);
    mNow += std::chrono::milliseconds(10);
    Set(3, MemoryUse::kAnswer, 3 * kBlock);
    mNow += std::chrono::milliseconds(10);
    mAccount.Move(Key(1), kBlock, mNow);
    CPPUNIT_ASSERT(mGivenUp.empty());
    Set(4, MemoryUse::kAnswer, 3 * kBlock);
    CPPUNIT_ASSERT((mGivenUp == std::vector<int>{ 3 }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, mAccount.Losses().mAnswersGivenUp);
  }

  void GivesUpTheLargestReply()
  {
    Set(1, MemoryUse::kReply, kBlock);
    Set(2, MemoryUse::kReply, 2 * kBlock);
    Set(1, MemoryUse::kReply, kBlock + 1);
    Set(3, MemoryUse::kReply, kBlock);
    CPPUNIT_ASSERT((mGivenUp == std::vector<int>{ 2 }));
    CPPUNIT_ASSERT_EQUAL(2 * kBlock + 1, mAccount.UsedBytes());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, mAccount.Losses().mRepliesGivenUp);
  }

  void ReadsOneReplyAtATimeWhenMemoryIsShort()
  {
    Set(1, MemoryUse::kReply, kBlock);
    CPPUNIT_ASSERT(mAccount.MayRead(Key(1), mNow));
    mNow += std::chrono::milliseconds(1);
    Set(2, MemoryUse::kReply, kBlock);
    CPPUNIT_ASSERT(mAccount.MayRead(Key(1), mNow));
    CPPUNIT_ASSERT(!mAccount.MayRead(Key(2), mNow));
    // A small reply is not counted yet.
    CPPUNIT_ASSERT(mAccount.MayRead(Key(3), mNow));
    mAccount.Release(Key(1));
    CPPUNIT_ASSERT(mAccount.MayRead(Key(2), mNow));
    CPPUNIT_ASSERT(mAccount.MayRead(Key(3), mNow));
  }

  void ReadsNoReplyBeforeAnswersMakeRoom()
  {
    Set(1, MemoryUse::kReply, kBlock);
    Set(2, MemoryUse::kAnswer, 5 * kBlock);
    CPPUNIT_ASSERT(!mAccount.MayRead(Key(1), mNow));
    CPPUNIT_ASSERT(mGivenUp.empty());
    mNow += std::chrono::seconds(1);
    CPPUNIT_ASSERT(!mAccount.MayRead(Key(1), mNow));
    CPPUNIT_ASSERT((mGivenUp == std::vector<int>{ 2 }));
    CPPUNIT_ASSERT(mAccount.MayRead(Key(1), mNow));
  }

  void KeepsItsLimitsForAnyUse()
  {
    CPPUNIT_ASSERT(rc::check([] {
      MemoryAccount account(kLimits);
      std::map<int, std::pair<MemoryUse, std::size_t>> held;
      TimePoint now{ std::chrono::seconds(1) };
      const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, std::size_t>>>(
          rc::gen::tuple(rc::gen::inRange(0, 8),
                         rc::gen::inRange(0, 6),
                         rc::gen::inRange<std::size_t>(0, 3 * kBlock)));
      for (const auto& [key, action, bytes] : steps) {
        now += std::chrono::milliseconds(300);
        const auto giveUp = [&held, key = key] {
          RC_ASSERT(held.at(key).first != MemoryUse::kRequest);
          held.erase(key);
        };
        // A request in progress is not received again before it is released.
        const bool isInProgress =
          held.contains(key) && held.at(key).first == MemoryUse::kRequest;
        const bool wasHeld = held.contains(key);
        if (action == 4 || (action == 0 && isInProgress)) {
          account.Release(Key(key));
          held.erase(key);
        } else if (action == 5) {
          account.Move(Key(key), bytes, now);
        } else if (action == 0 &&
                   !account.Admit(Key(key), bytes, now, giveUp)) {
          RC_ASSERT(TotalOfMap(held) + bytes > kLimits.mAdmissionBytes ||
                    (wasHeld && !held.contains(key)));
        } else {
          const auto use = static_cast<MemoryUse>(action);
          held.erase(key);
          if (bytes >= MemoryAccount::kLeastCountedBytes) {
            held[key] = { use, bytes };
          }
          if (action != 0) {
            account.Set(Key(key), use, bytes, now, giveUp);
          }
        }
        RC_ASSERT(account.UsedBytes() == TotalOfMap(held));
        const bool isOnlyRequests =
          std::all_of(held.begin(), held.end(), [](const auto& aHeld) {
            return aHeld.second.first == MemoryUse::kRequest;
          });
        RC_ASSERT(isOnlyRequests || account.UsedBytes() <= kLimits.mTotalBytes);
      }
    }));
  }

private:
  using HeldMap = std::map<int, std::pair<MemoryUse, std::size_t>>;

  static std::size_t TotalOfMap(const HeldMap& aHeld)
  {
    std::size_t total = 0;
    for (const auto& [key, use] : aHeld) {
      total += use.second;
    }
    return total;
  }

  /** A distinct address for each number. */
  static const void* Key(int aNumber)
  {
    static constexpr std::array<char, 16> kKeys{};
    return &kKeys.at(static_cast<std::size_t>(aNumber));
  }

  bool Admit(int aNumber, std::size_t aBytes)
  {
    return mAccount.Admit(Key(aNumber), aBytes, mNow, [this, aNumber] {
      mGivenUp.push_back(aNumber);
    });
  }

  void Set(int aNumber, MemoryUse aUse, std::size_t aBytes)
  {
    mAccount.Set(Key(aNumber), aUse, aBytes, mNow, [this, aNumber] {
      mGivenUp.push_back(aNumber);
    });
  }

  MemoryAccount mAccount{ kLimits };
  TimePoint mNow{ std::chrono::seconds(1) };
  std::vector<int> mGivenUp;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAccountTests);
