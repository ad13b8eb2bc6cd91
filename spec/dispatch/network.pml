/* Connections, and the messages that are lost when they end. */

inline send_up(p, what, content, is_leaving) {
  if
  :: connection_open[p] ->
     assert(nfull(up[p]));
     up[p]!what, connection[p], content, link_identity[p], is_leaving
  :: else -> skip
  fi
}
inline send_down(p, what, content) {
  if
  :: connection_open[p] && session_link[p] == connection[p] ->
     assert(nfull(down[p]));
     down[p]!what, content
  :: else -> skip
  fi
}
inline end_connection(p) { connection_open[p] = 0 }

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

/* Drops the messages in transit to the entry on connections up to the given
 * one. */
inline drop_upstream(p, last) {
  do
  :: nempty(up[p]) ->
     up[p]?<kind, connection_number, argument, identity, leaving_flag>;
     if
     :: connection_number <= last -> up[p]?kind, connection_number, argument, identity, leaving_flag
     :: connection_number > last -> break
     fi
  :: empty(up[p]) -> break
  od;
  skip
}
