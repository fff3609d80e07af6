-- Story: two operators change the lists from the same version; both believe they won, or a change
-- that was printed as accepted is gone after a restart.
fleet({ keepers = 3, entries = 4, engines = 1 })

local one = ask_later({ to = "entry-1", path = "/v1/operator/apply", key = "scenario-operator-token",
  json = { base = 1, change_id = "one", plans = plans(100), allowances = allowances } })
local two = ask_later({ to = "entry-2", path = "/v1/operator/apply", key = "scenario-operator-token",
  json = { base = 1, change_id = "two", plans = plans(200), allowances = allowances } })
one, two = answer(one), answer(two)
local won, lost = one, two
local winner = "one"
if one.status ~= 200 then won, lost, winner = two, one, "two" end
expect(won.status == 200 and lost.status == 409, "one wins: " .. one.body .. two.body)
expect(lost.json.result == "conflict" and lost.json.winner == winner, "the loser learns of it")
local rate = winner == "one" and 100 or 200
local again = apply({ to = "entry-3", base = 1, change_id = winner, plans = plans(rate) })
expect(again.status == 200 and again.json.version == 2, "a resend gets the first answer")
local reused = apply({ to = "entry-3", base = 2, change_id = winner, plans = plans(300) })
expect(reused.status == 409 and reused.json.result == "change_id_reused", "another content doesn't")

-- The leader is lost right after it acknowledged.
local leading = eventually(5000, "a leader", function() return leader(keepers, 0) end)
local started = now()
expect(apply({ base = 2, change_id = "three" }).status == 200, "accepted")
local acknowledged = now()
kill(leading)
for _, name in ipairs(entries) do
  eventually(5000, name .. " has version 3", function()
    return dump(name).control.config_version == 3
  end)
end
print("acknowledged after " .. acknowledged - started .. " ms, in force everywhere after " ..
  now() - acknowledged .. " ms more")
local killed = now()
eventually(8000, "the rest accepts", function()
  return apply({ base = 3, change_id = "four" }).status == 200
end)
print("a change is accepted " .. now() - killed .. " ms after the leader's death was dealt with")
start(leading)
kill("entry-2")
start("entry-2")
eventually(8000, "entry-2 is back with version 4", function()
  local state = dump("entry-2")
  return state and state.control.config_version == 4
end)
eventually(8000, leading .. " has version 4", function()
  local state = dump(leading)
  return state and state.config_version == 4
end)
