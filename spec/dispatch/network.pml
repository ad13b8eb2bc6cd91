/* Connections and what is lost when they end. */

inline send_up(p, what, content, is_leaving) {
  if
  :: whole[p] ->
     assert(nfull(up[p]));
     up[p]!what, connection[p], content, link_identity[p], is_leaving
  :: else -> skip
  fi
}
inline send_down(p, what, content) {
  if
  :: whole[p] && session_link[p] == connection[p] ->
     assert(nfull(down[p]));
     down[p]!what, content
  :: else -> skip
  fi
}
inline end_connection(p) { whole[p] = 0 }

inline discard_input(p) {
  if
  :: agent_discards_input(p) ->
     do
     :: nempty(down[p]) -> down[p]?kind, argument
     :: empty(down[p]) -> break
     od;
     skip
  :: else -> skip
  fi
}

/* Loses what is under way on connections up to the given one. */
inline lose_up(p, last) {
  do
  :: nempty(up[p]) ->
     up[p]?<kind, number, argument, identity, flag>;
     if
     :: number <= last -> up[p]?kind, number, argument, identity, flag
     :: number > last -> break
     fi
  :: empty(up[p]) -> break
  od;
  skip
}
